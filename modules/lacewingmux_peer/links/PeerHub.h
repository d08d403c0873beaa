#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_peer/messages/PeerFrame.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"

#include <chrono>
#include <functional>
#include <vector>

namespace lacewingmux {

/**
    All links of one channel (control or traffic) of this daemon to its peers.

    Frames to one peer arrive in the order sent, each at most once, while the link stays up. When
    a link breaks, frames on it may be lost; the parts that subscribed are told and send again
    what they must. Everything runs on the thread that owns the hub.
*/
class PeerHub
{
public:
    using FrameHandler = std::function<void(const VmIncarnation &sender, const PeerFrame &frame)>;
    using LinkHandler = std::function<void(const VmIncarnation &peer, bool up)>;

    PeerHub() = default;
    virtual ~PeerHub() = default;
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /** Returns this daemon's own incarnation. */
    [[nodiscard]] virtual const VmIncarnation &self() const = 0;

    /** Sets whom to keep links to; links to others close once idle. */
    virtual void setPeers(const std::vector<VmDescriptor> &peers) = 0;

    /** Sends a frame; returns false, with nothing sent, when no link to that incarnation is up, or
        when the frame is too long for one. */
    virtual bool send(const VmIncarnation &peer, const PeerFrame &frame) = 0;

    /** Tells whether a link to that incarnation is up. */
    [[nodiscard]] virtual bool isConnected(const VmIncarnation &peer) const = 0;

    /** Tells whether a link to that incarnation is up and has brought anything within the given
       time. A link is closed only after a longer silence. A hub that does not measure silence
       answers as isConnected() does. */
    [[nodiscard]] virtual bool isResponsive(const VmIncarnation &peer,
                                            std::chrono::milliseconds maximumSilence) const;

    /** Sets the one handler for a kind of frame. */
    virtual void setHandler(FrameKind kind, FrameHandler handler) = 0;

    /** Adds a handler that is told when a link goes up or down. */
    virtual void addLinkHandler(LinkHandler handler) = 0;
};

} // namespace lacewingmux
