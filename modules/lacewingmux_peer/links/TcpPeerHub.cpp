#include "lacewingmux_peer/links/TcpPeerHub.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_peer/links/PeerLink.h"

#include <QSslServer>
#include <QSslSocket>
#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace lacewingmux {

TcpPeerHub::TcpPeerHub(PeerHubSettings hubSettings, TimerService &timerService)
    : settings(std::move(hubSettings))
    , timers(timerService)
    , random(QRandomGenerator::system()->generate())
    , alive(std::make_shared<bool>(true))
{
    this->listen();
    this->idleCheck =
            this->timers.every(this->settings.idleTimeout / 2, [this] { this->closeIdleLinks(); });
}

TcpPeerHub::~TcpPeerHub()
{
    // No hook may reach a hub that is half destroyed.
    this->alive.reset();
    this->targets.clear();
    this->connected.clear();
    this->links.clear();
}

const VmIncarnation &TcpPeerHub::self() const
{
    return this->settings.self;
}

void TcpPeerHub::setPeers(const std::vector<VmDescriptor> &peers)
{
    std::set<TargetKey> wanted;
    for (const VmDescriptor &peer : peers) {
        if (peer.incarnation == this->settings.self)
            continue;
        const TargetKey key(peer.address, this->portOf(peer));
        wanted.insert(key);
        const auto known = this->targets.find(key);
        if (known != this->targets.end()) {
            known->second.descriptor = peer;
            continue;
        }
        JitteredBackoff backoff(this->settings.shortestReconnect, this->settings.longestReconnect);
        this->targets.emplace(key, Target{peer, backoff, nullptr, {}, false, {}});
    }
    std::erase_if(this->targets,
                  [&wanted](const auto &entry) { return wanted.count(entry.first) == 0; });
    for (const TargetKey &key : wanted) {
        Target &target = this->targets.at(key);
        if (!target.link && !this->isSatisfied(target))
            this->dial(key);
    }
}

bool TcpPeerHub::send(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto found = this->connected.find(peer);
    return found != this->connected.end() && found->second->send(frame);
}

bool TcpPeerHub::isConnected(const VmIncarnation &peer) const
{
    return this->connected.count(peer) > 0;
}

bool TcpPeerHub::isResponsive(const VmIncarnation &peer,
                              std::chrono::milliseconds maximumSilence) const
{
    const auto found = this->connected.find(peer);
    return found != this->connected.end()
           && this->timers.now() - found->second->lastHeard() <= maximumSilence;
}

void TcpPeerHub::setHandler(FrameKind kind, FrameHandler handler)
{
    this->dispatch.setHandler(kind, std::move(handler));
}

void TcpPeerHub::addLinkHandler(LinkHandler handler)
{
    this->dispatch.addLinkHandler(std::move(handler));
}

std::uint16_t TcpPeerHub::port() const
{
    return this->server->serverPort();
}

std::vector<VmIncarnation> TcpPeerHub::connectedPeers() const
{
    std::vector<VmIncarnation> peers;
    for (const auto &[peer, link] : this->connected)
        peers.push_back(peer);
    return peers;
}

void TcpPeerHub::listen()
{
    if (this->settings.tls) {
        auto secured = std::make_unique<QSslServer>();
        secured->setSslConfiguration(*this->settings.tls);
        secured->setHandshakeTimeout(static_cast<int>(this->settings.handshakeTimeout.count()));
        this->server = std::move(secured);
    } else {
        this->server = std::make_unique<QTcpServer>();
    }
    QObject::connect(this->server.get(), &QTcpServer::pendingConnectionAvailable,
                     this->server.get(), [this] { this->acceptPending(); });
    if (!this->server->listen(this->settings.address, this->settings.port))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot listen for peers on %1 port %2: %3")
                                       .arg(this->settings.address.toString())
                                       .arg(this->settings.port)
                                       .arg(this->server->errorString()));
}

void TcpPeerHub::acceptPending()
{
    while (QTcpSocket *socket = this->server->nextPendingConnection()) {
        socket->setParent(nullptr);
        const auto handshaking =
                std::count_if(this->links.begin(), this->links.end(),
                              [](const auto &entry) { return !entry.second->isUp(); });
        if (handshaking < this->settings.handshakeLimit) {
            this->startLink(socket, false, {});
            continue;
        }
        socket->abort();
        socket->deleteLater();
    }
}

void TcpPeerHub::dial(const TargetKey &key)
{
    const Target &target = this->targets.at(key);
    this->startLink(this->makeSocket(target.descriptor, key.second), true, key);
}

void TcpPeerHub::scheduleRedial(const TargetKey &key)
{
    Target &target = this->targets.at(key);
    target.redial =
            this->timers.after(target.backoff.next(this->random.generateDouble()), [this, key] {
                const auto found = this->targets.find(key);
                if (found == this->targets.end() || found->second.link)
                    return;
                if (this->isSatisfied(found->second))
                    this->scheduleRedial(key);
                else
                    this->dial(key);
            });
}

QTcpSocket *TcpPeerHub::makeSocket(const VmDescriptor &peer, std::uint16_t peerPort)
{
    if (!this->settings.tls) {
        auto *socket = new QTcpSocket;
        socket->bind(this->settings.address);
        socket->connectToHost(QHostAddress(peer.address), peerPort);
        return socket;
    }
    auto *socket = new QSslSocket;
    socket->setSslConfiguration(*this->settings.tls);
    // VMs are known by the authority that signed them, not by a host name.
    QObject::connect(socket, &QSslSocket::sslErrors, socket,
                     [socket](const QList<QSslError> &errors) {
                         const bool nameOnly =
                                 std::all_of(errors.begin(), errors.end(), [](const auto &error) {
                                     return error.error() == QSslError::HostNameMismatch;
                                 });
                         if (nameOnly)
                             socket->ignoreSslErrors();
                     });
    socket->bind(this->settings.address);
    socket->connectToHostEncrypted(peer.address, peerPort);
    return socket;
}

void TcpPeerHub::startLink(QTcpSocket *socket, bool dialled, const TargetKey &key)
{
    const auto role = dialled ? PeerHandshake::Role::Dialler : PeerHandshake::Role::Acceptor;
    // The hooks need the link's address, which exists only once it is made.
    const auto self = std::make_shared<const PeerLink *>(nullptr);
    const std::weak_ptr<bool> token = this->alive;
    PeerLink::Hooks hooks;
    hooks.hello = [this, token, self, key](const VmIncarnation &peer) {
        return !token.expired() && this->helloReceived(*self, peer, key);
    };
    hooks.up = [this, token, self, key] {
        if (!token.expired())
            this->linkUp(*self, key);
    };
    hooks.frame = [this, token, self](const PeerFrame &frame) {
        if (!token.expired())
            this->dispatch.frameReceived((*self)->peer(), frame);
    };
    hooks.closed = [this, token, self, key](const QString &reason) {
        if (!token.expired())
            this->linkClosed(*self, key, reason);
    };
    const auto link = std::make_shared<PeerLink>(socket, role, this->settings, this->timers,
                                                 std::move(hooks));
    *self = link.get();
    this->links.emplace(link.get(), link);
    if (dialled)
        this->targets.at(key).link = link;
    link->start();
}

bool TcpPeerHub::helloReceived(const PeerLink *link, const VmIncarnation &peer,
                               const TargetKey &key)
{
    if (link->role() == PeerHandshake::Role::Acceptor)
        return peer != this->settings.self;

    const auto target = this->targets.find(key);
    if (target == this->targets.end())
        return false;
    target->second.answered = peer;
    const VmIncarnation &expected = target->second.descriptor.incarnation;
    if (!expected.vm.isEmpty() && peer != expected)
        return false;
    if (peer == this->settings.self)
        return false;
    // Settled before this end proves itself: the peer hasn't counted this link yet.
    const auto current = this->connected.find(peer);
    return current == this->connected.end() || this->isPreferred(*link, *current->second);
}

void TcpPeerHub::linkUp(const PeerLink *link, const TargetKey &key)
{
    const LinkPointer pointer = this->find(link);
    const VmIncarnation peer = link->peer();
    const auto target = this->targets.find(key);
    if (target != this->targets.end())
        target->second.backoff.reset();
    if (target != this->targets.end())
        target->second.failureLogged = false;

    const auto current = this->connected.find(peer);
    if (current != this->connected.end()) {
        const LinkPointer replaced = current->second;
        if (!this->isPreferred(*link, *replaced)) {
            pointer->close(QStringLiteral("another link is kept"));
            return;
        }
        replaced->close(QStringLiteral("replaced by another link"));
    }
    if (!pointer->isUp())
        return;
    this->connected[peer] = pointer;
    LogEvent(LogSeverity::Info, "peerLinkUp")
            .field("peer", peer.toString())
            .field("channel", static_cast<int>(this->settings.channel));
    this->dispatch.linkChanged(peer, true);
}

void TcpPeerHub::linkClosed(const PeerLink *link, const TargetKey &key, const QString &reason)
{
    const LinkPointer pointer = this->find(link);
    this->links.erase(link);
    const auto target = this->targets.find(key);
    if (target != this->targets.end() && target->second.link == pointer) {
        this->noteUnreachable(target->second, key, *pointer, reason);
        target->second.link.reset();
        this->scheduleRedial(key);
    }
    this->noteLoss(pointer, reason);
}

void TcpPeerHub::noteUnreachable(Target &target, const TargetKey &key, const PeerLink &link,
                                 const QString &reason)
{
    const auto current = this->connected.find(link.peer());
    const bool wasUp = current != this->connected.end() && current->second.get() == &link;
    // Every further try would say the same.
    if (wasUp || std::exchange(target.failureLogged, true))
        return;
    LogEvent(LogSeverity::Warning, "peerUnreachable")
            .field("peer", target.descriptor.incarnation.toString())
            .field("address", key.first)
            .field("channel", static_cast<int>(this->settings.channel))
            .field("reason", reason);
}

void TcpPeerHub::noteLoss(const LinkPointer &link, const QString &reason)
{
    const VmIncarnation peer = link->peer();
    const auto current = this->connected.find(peer);
    const bool wasCurrent = current != this->connected.end() && current->second == link;
    if (!wasCurrent)
        return;
    LogEvent(LogSeverity::Warning, "peerLinkClosed")
            .field("peer", peer.toString())
            .field("channel", static_cast<int>(this->settings.channel))
            .field("reason", reason);
    this->connected.erase(current);
    for (auto &[key, target] : this->targets) {
        // Also a target that was content with a link which the peer had dialled.
        const bool concerned = target.descriptor.incarnation == peer || target.answered == peer;
        if (!concerned || target.link)
            continue;
        target.backoff.reset();
        this->scheduleRedial(key);
    }
    this->dispatch.linkChanged(peer, false);
}

bool TcpPeerHub::isPreferred(const PeerLink &candidate, const PeerLink &current) const
{
    // A second link from the same end replaces the first at the acceptor: the dialler has seen it
    // break. A dialler itself never needs a second one while the first is up.
    if (candidate.role() == current.role())
        return candidate.role() == PeerHandshake::Role::Acceptor;
    const bool selfIsLower = this->settings.self < candidate.peer();
    return selfIsLower == (candidate.role() == PeerHandshake::Role::Dialler);
}

bool TcpPeerHub::isSatisfied(const Target &target) const
{
    const VmIncarnation &expected = target.descriptor.incarnation;
    const VmIncarnation &peer = expected.vm.isEmpty() ? target.answered : expected;
    return peer == this->settings.self || this->isConnected(peer);
}

bool TcpPeerHub::isWanted(const VmIncarnation &peer) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&peer](const auto &entry) {
        return entry.second.descriptor.incarnation == peer || entry.second.answered == peer;
    });
}

std::uint16_t TcpPeerHub::portOf(const VmDescriptor &peer) const
{
    return this->settings.channel == PeerChannel::Control ? peer.controlPort : peer.trafficPort;
}

TcpPeerHub::LinkPointer TcpPeerHub::find(const PeerLink *link) const
{
    const auto found = this->links.find(link);
    return found == this->links.end() ? nullptr : found->second;
}

void TcpPeerHub::closeIdleLinks()
{
    std::vector<LinkPointer> idle;
    for (const auto &[peer, link] : this->connected) {
        const bool unused = this->timers.now() - link->lastUsed() >= this->settings.idleTimeout;
        if (unused && !this->isWanted(peer))
            idle.push_back(link);
    }
    for (const LinkPointer &link : idle)
        link->close(QStringLiteral("idle"));
}

} // namespace lacewingmux
