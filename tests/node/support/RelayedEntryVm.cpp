#include "support/RelayedEntryVm.h"

#include "support/UnreachableStore.h"

#include "lacewingmux_relay/messages/RelayCodec.h"

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

const QByteArray replicaPrefix = "servers/";
constexpr milliseconds step{10};

VmDescriptor descriptorOf(const VmIncarnation &incarnation)
{
    VmDescriptor descriptor;
    descriptor.incarnation = incarnation;
    descriptor.address = incarnation.vm;
    descriptor.trafficPort = 1;
    return descriptor;
}

} // namespace

RelayedEntryVm::RelayedEntryVm()
    : network(this->timers)
{
    this->network.setDeliveryDelay(milliseconds(1));
    this->network.setDetectionDelay(milliseconds(900));
    this->startRecordsVm({"records-near", "near", 1});
    this->startRecordsVm({"records-far", "far", 1});
    this->startEntryVm();
}

void RelayedEntryVm::startRecordsVm(const VmIncarnation &incarnation)
{
    auto &vm = *this->recordsVms.emplace_back(std::make_unique<RecordsVm>());
    vm.incarnation = incarnation;
    vm.hub = this->network.makeHub(incarnation);
    vm.relay = std::make_unique<RelayServer>(
            *vm.hub, this->timers,
            RelayServer::Hooks{[this, &vm](const VmIncarnation &subscriber) {
                                   this->sendContents(*vm.relay, subscriber);
                               },
                               [](bool) {}});
}

void RelayedEntryVm::startEntryVm()
{
    this->hub = this->network.makeHub({"entry", "near", 1});
    std::vector<VmDescriptor> peers;
    std::vector<VmIncarnation> candidates;
    for (const auto &vm : this->recordsVms) {
        peers.push_back(descriptorOf(vm->incarnation));
        candidates.push_back(vm->incarnation);
    }
    this->hub->setPeers(peers);
    StoreFollower::Hooks hooks;
    hooks.configuration = [](const QByteArray &) {};
    hooks.view = [](const QByteArray &) {};
    hooks.replicas = [this](const std::vector<ReplicaInstance> &instances) {
        this->usedReplicas.clear();
        for (const ReplicaInstance &instance : instances)
            this->usedReplicas.insert(instance.id);
    };
    this->follower =
            std::make_unique<StoreFollower>(this->timers, this->metrics, this->adapter(), hooks);
    this->relays = std::make_unique<RelayClient>(
            *this->hub, this->timers,
            RelayClient::Hooks{
                    [this](const RelayUpdate &update) { this->follower->applyUpdate(update); },
                    [this](const RelayContact &contact) {
                        this->follower->handleRelayContact(contact);
                    },
                    [](bool) {}});
    this->relays->setCandidates(candidates);
}

void RelayedEntryVm::registerReplica(const QByteArray &id)
{
    this->entries[id] = ++this->storeRevision;
    this->broadcast(id);
}

void RelayedEntryVm::removeReplica(const QByteArray &id)
{
    ++this->storeRevision;
    this->entries.erase(id);
    this->broadcast(id);
}

void RelayedEntryVm::setCut(bool cut)
{
    for (const auto &vm : this->recordsVms) {
        if (cut)
            this->network.cut("entry", vm->incarnation.vm);
        else
            this->network.heal("entry", vm->incarnation.vm);
    }
}

void RelayedEntryVm::setStoreReachable(bool reachable)
{
    this->storeReachable = reachable;
}

void RelayedEntryVm::run(milliseconds duration)
{
    for (milliseconds passed{0}; passed < duration; passed += step) {
        for (const auto &vm : this->recordsVms)
            vm->relay->setContact(this->storeReachable, this->timers.now());
        this->timers.advance(step);
        this->timers.runPosted();
    }
}

void RelayedEntryVm::sendContents(RelayServer &relay, const VmIncarnation &subscriber) const
{
    RelayUpdate update{replicaPrefix, this->storeRevision, true, {}};
    for (const auto &[id, revision] : this->entries)
        update.records.push_back({replicaPrefix + id, "entry", revision, revision, 0});
    relay.sendContents(subscriber, {RelayCodec::encodeUpdate(update)});
}

void RelayedEntryVm::broadcast(const QByteArray &id)
{
    const auto entry = this->entries.find(id);
    const std::int64_t created = entry == this->entries.end() ? 0 : entry->second;
    const RelayUpdate update{replicaPrefix,
                             this->storeRevision,
                             false,
                             {{replicaPrefix + id, "entry", created, this->storeRevision, 0}}};
    for (const auto &vm : this->recordsVms)
        vm->relay->broadcast(RelayCodec::encodeUpdate(update));
}

PlatformAdapter RelayedEntryVm::adapter() const
{
    PlatformAdapter platform;
    platform.createStore = [](TimerService &, MetricsRecorder &,
                              std::function<void(bool)> contactChanged) {
        return std::make_unique<UnreachableStore>(std::move(contactChanged));
    };
    platform.configurationKey = "configuration";
    platform.replicaPrefix = replicaPrefix;
    platform.readReplica = [](const QByteArray &key, const QByteArray &) {
        ReplicaInstance replica;
        replica.id = key.mid(replicaPrefix.size());
        replica.service = "service";
        return std::optional(replica);
    };
    return platform;
}

} // namespace lacewingmux
