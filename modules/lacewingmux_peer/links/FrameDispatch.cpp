#include "lacewingmux_peer/links/FrameDispatch.h"

namespace lacewingmux {

void FrameDispatch::setHandler(FrameKind kind, PeerHub::FrameHandler handler)
{
    this->frameHandlers[kind] = std::move(handler);
}

void FrameDispatch::addLinkHandler(PeerHub::LinkHandler handler)
{
    this->linkHandlers.push_back(std::move(handler));
}

void FrameDispatch::frameReceived(const VmIncarnation &sender, const PeerFrame &frame) const
{
    const auto found = this->frameHandlers.find(frame.kind);
    if (found == this->frameHandlers.end() || !found->second)
        return;
    // A copy, since a handler may replace itself.
    const PeerHub::FrameHandler handler = found->second;
    handler(sender, frame);
}

void FrameDispatch::linkChanged(const VmIncarnation &peer, bool up) const
{
    const std::vector<PeerHub::LinkHandler> handlers = this->linkHandlers;
    for (const PeerHub::LinkHandler &handler : handlers)
        handler(peer, up);
}

} // namespace lacewingmux
