#pragma once

#include "lacewingmux_peer/links/FrameDispatch.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <set>

namespace lacewingmux {

class InMemoryPeerNetwork;

/** The hub of one incarnation in an InMemoryPeerNetwork, which makes it. */
class InMemoryPeerHub final : public PeerHub
{
public:
    InMemoryPeerHub(InMemoryPeerNetwork &ownNetwork, VmIncarnation ownIncarnation);
    ~InMemoryPeerHub() override;

    [[nodiscard]] const VmIncarnation &self() const override;
    void setPeers(const std::vector<VmDescriptor> &peers) override;
    bool send(const VmIncarnation &peer, const PeerFrame &frame) override;
    [[nodiscard]] bool isConnected(const VmIncarnation &peer) const override;
    void setHandler(FrameKind kind, FrameHandler handler) override;
    void addLinkHandler(LinkHandler handler) override;

    /** Tells whether a link to that incarnation is wanted. */
    [[nodiscard]] bool wants(const VmIncarnation &peer) const;

    /** Called by the network with a frame that has arrived. */
    void receive(const VmIncarnation &sender, const PeerFrame &frame);

    /** Called by the network when this end notices that a link came up or broke. */
    void noticeLink(const VmIncarnation &peer, bool up);

private:
    InMemoryPeerNetwork &network;
    VmIncarnation incarnation;
    std::set<VmIncarnation> wanted;
    std::set<VmIncarnation> connected;
    FrameDispatch dispatch;
};

} // namespace lacewingmux
