#pragma once

#include "lacewingmux_core/time/JitteredBackoff.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/FrameDispatch.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"

#include <QRandomGenerator>

#include <map>
#include <memory>
#include <set>
#include <vector>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

class PeerLink;

/**
    The links of one channel over TCP, or over TLS when the settings hold a certificate.

    Whoever wants a peer dials it: a joining VM knows the members of its zone before they know it,
    so the lower id alone can't be left to dial. When two daemons dial each other at once, both
    keep the link that the lower incarnation dialled. A wanted peer that can't be reached is
    dialled again with growing, random waits.

    A wanted peer whose descriptor has no VM name is a seed: whoever answers at its address.

    Trust between daemons is described at PeerHandshake.
*/
class TcpPeerHub final : public PeerHub
{
public:
    /** Listens at once. Throws LacewingmuxError when the address can't be listened on. */
    TcpPeerHub(PeerHubSettings hubSettings, TimerService &timerService);
    ~TcpPeerHub() override;

    [[nodiscard]] const VmIncarnation &self() const override;
    void setPeers(const std::vector<VmDescriptor> &peers) override;
    bool send(const VmIncarnation &peer, const PeerFrame &frame) override;
    [[nodiscard]] bool isConnected(const VmIncarnation &peer) const override;
    [[nodiscard]] bool isResponsive(const VmIncarnation &peer,
                                    std::chrono::milliseconds maximumSilence) const override;
    void setHandler(FrameKind kind, FrameHandler handler) override;
    void addLinkHandler(LinkHandler handler) override;

    /** Returns the port that this hub listens on. */
    [[nodiscard]] std::uint16_t port() const;

    /** Returns the incarnations to which links are up. */
    [[nodiscard]] std::vector<VmIncarnation> connectedPeers() const;

private:
    using LinkPointer = std::shared_ptr<PeerLink>;

    /** A peer that this hub dials. */
    struct Target
    {
        VmDescriptor descriptor;
        JitteredBackoff backoff;
        LinkPointer link;           ///< the attempt in progress, or the link it became
        VmIncarnation answered;     ///< who answered last at a seed's address
        bool failureLogged = false; ///< that it can't be reached, since it last could
        TimerSubscription redial;
    };
    using TargetKey = std::pair<QString, std::uint16_t>; ///< address and port

    void listen();
    void acceptPending();
    void dial(const TargetKey &key);
    void scheduleRedial(const TargetKey &key);
    [[nodiscard]] QTcpSocket *makeSocket(const VmDescriptor &peer, std::uint16_t peerPort);
    void startLink(QTcpSocket *socket, bool dialled, const TargetKey &key);
    bool helloReceived(const PeerLink *link, const VmIncarnation &peer, const TargetKey &key);
    void linkUp(const PeerLink *link, const TargetKey &key);
    void linkClosed(const PeerLink *link, const TargetKey &key, const QString &reason);
    void noteUnreachable(Target &target, const TargetKey &key, const PeerLink &link,
                         const QString &reason);
    void noteLoss(const LinkPointer &link, const QString &reason);
    [[nodiscard]] bool isPreferred(const PeerLink &candidate, const PeerLink &current) const;
    [[nodiscard]] bool isSatisfied(const Target &target) const;
    [[nodiscard]] bool isWanted(const VmIncarnation &peer) const;
    [[nodiscard]] std::uint16_t portOf(const VmDescriptor &peer) const;
    [[nodiscard]] LinkPointer find(const PeerLink *link) const;
    void closeIdleLinks();

    PeerHubSettings settings;
    TimerService &timers;
    FrameDispatch dispatch;
    QRandomGenerator random;
    std::unique_ptr<QTcpServer> server;
    std::map<TargetKey, Target> targets;
    std::map<const PeerLink *, LinkPointer> links; ///< all, also those in their handshake
    std::map<VmIncarnation, LinkPointer> connected;
    TimerSubscription idleCheck;
    std::shared_ptr<bool> alive;
};

} // namespace lacewingmux
