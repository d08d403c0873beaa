#include "zone/model/ModelNetwork.h"

namespace lacewingmux {

void ModelNetwork::attach(ModelHub &hub)
{
    this->hubs[hub.self()] = &hub;
    for (const auto &[vm, other] : this->hubs) {
        if (vm != hub.self())
            this->connect(vm, hub.self());
    }
}

void ModelNetwork::detach(const VmIncarnation &vm)
{
    this->hubs.erase(vm);
    this->pausedVms.erase(vm);
    std::erase_if(this->items, [&vm](const auto &entry) { return entry.first.second == vm; });
    for (const auto &[other, hub] : this->hubs)
        this->items[{vm, other}].push_back({Item::Kind::Down, {}});
}

void ModelNetwork::send(const VmIncarnation &sender, const VmIncarnation &receiver,
                        const PeerFrame &frame)
{
    if (this->hubs.contains(receiver) && !this->isCut({sender, receiver}))
        this->items[{sender, receiver}].push_back({Item::Kind::Frame, frame});
}

bool ModelNetwork::deliverOne(std::mt19937_64 &random)
{
    std::vector<Path> ready;
    for (const auto &[path, queue] : this->items) {
        if (!queue.empty() && !this->pausedVms.contains(path.second))
            ready.push_back(path);
    }
    if (ready.empty())
        return false;
    const Path path = ready[random() % ready.size()];
    const Item item = this->items[path].front();
    this->items[path].pop_front();
    ModelHub &receiver = *this->hubs.at(path.second);
    if (item.kind == Item::Kind::Frame)
        receiver.receive(path.first, item.frame);
    else
        receiver.setLinkUp(path.first, item.kind == Item::Kind::Up);
    return true;
}

void ModelNetwork::breakLink(const VmIncarnation &first, const VmIncarnation &second)
{
    this->drop({first, second});
    this->drop({second, first});
    if (!this->isCut({first, second}))
        this->connect(first, second);
}

void ModelNetwork::cut(const VmIncarnation &first, const VmIncarnation &second)
{
    if (this->isCut({first, second}))
        return;
    this->cuts.insert({first, second});
    this->cuts.insert({second, first});
    this->breakLink(first, second);
}

void ModelNetwork::healAll()
{
    for (const Path &path : std::exchange(this->cuts, {})) {
        if (path.first < path.second && this->hubs.contains(path.first)
            && this->hubs.contains(path.second))
            this->connect(path.first, path.second);
    }
}

void ModelNetwork::setPaused(const VmIncarnation &vm, bool paused)
{
    if (paused)
        this->pausedVms.insert(vm);
    else
        this->pausedVms.erase(vm);
}

void ModelNetwork::connect(const VmIncarnation &first, const VmIncarnation &second)
{
    this->items[{first, second}].push_back({Item::Kind::Up, {}});
    this->items[{second, first}].push_back({Item::Kind::Up, {}});
}

void ModelNetwork::drop(const Path &path)
{
    if (!this->hubs.contains(path.second))
        return;
    std::erase_if(this->items[path],
                  [](const Item &item) { return item.kind == Item::Kind::Frame; });
    this->items[path].push_back({Item::Kind::Down, {}});
}

bool ModelNetwork::isCut(const Path &path) const
{
    return this->cuts.contains(path);
}

ModelHub::ModelHub(ModelNetwork &modelNetwork, VmIncarnation ownIncarnation)
    : network(modelNetwork)
    , incarnation(std::move(ownIncarnation))
{
    this->network.attach(*this);
}

ModelHub::~ModelHub()
{
    this->network.detach(this->incarnation);
}

const VmIncarnation &ModelHub::self() const
{
    return this->incarnation;
}

void ModelHub::setPeers(const std::vector<VmDescriptor> &)
{ }

bool ModelHub::send(const VmIncarnation &peer, const PeerFrame &frame)
{
    if (!this->isConnected(peer))
        return false;
    this->network.send(this->incarnation, peer, frame);
    return true;
}

bool ModelHub::isConnected(const VmIncarnation &peer) const
{
    return this->connected.contains(peer);
}

void ModelHub::setHandler(FrameKind kind, FrameHandler handler)
{
    this->handlers[kind] = std::move(handler);
}

void ModelHub::addLinkHandler(LinkHandler handler)
{
    this->linkHandlers.push_back(std::move(handler));
}

void ModelHub::receive(const VmIncarnation &sender, const PeerFrame &frame)
{
    const auto found = this->handlers.find(frame.kind);
    if (found != this->handlers.end() && found->second)
        found->second(sender, frame);
}

void ModelHub::setLinkUp(const VmIncarnation &peer, bool up)
{
    const bool changed = up ? this->connected.insert(peer).second : this->connected.erase(peer) > 0;
    for (const LinkHandler &handler : this->linkHandlers) {
        if (changed)
            handler(peer, up);
    }
}

} // namespace lacewingmux
