#pragma once

#include "lacewingmux_peer/links/PeerHub.h"

#include <map>
#include <vector>

namespace lacewingmux {

/** The handlers of a hub, by kind of frame. Shared by all kinds of hub. */
class FrameDispatch
{
public:
    /** Sets the one handler for a kind of frame. */
    void setHandler(FrameKind kind, PeerHub::FrameHandler handler);

    /** Adds a handler that is told when a link goes up or down. */
    void addLinkHandler(PeerHub::LinkHandler handler);

    /** Calls the handler of the frame's kind; a kind without one is ignored. */
    void frameReceived(const VmIncarnation &sender, const PeerFrame &frame) const;

    /** Calls every link handler, in the order in which they were added. */
    void linkChanged(const VmIncarnation &peer, bool up) const;

private:
    std::map<FrameKind, PeerHub::FrameHandler> frameHandlers;
    std::vector<PeerHub::LinkHandler> linkHandlers;
};

} // namespace lacewingmux
