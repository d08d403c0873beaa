#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <QByteArray>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace lacewingmux {

class PeerHub;
struct PeerFrame;

/**
    The owner's end of forwarding: hands requests that come from the fronts of other VMs to this
    VM's OwnerService and sends the answers back, in pieces well below the limit of a frame.

    When the link to a front breaks, its callers count as gone. The hub must outlive this.
*/
class ForwardReceiver
{
public:
    ForwardReceiver(PeerHub &trafficHub, OwnerService &localOwner);
    ~ForwardReceiver();
    ForwardReceiver(const ForwardReceiver &) = delete;
    ForwardReceiver &operator=(const ForwardReceiver &) = delete;

    /** Returns how many requests of other fronts are in progress. */
    [[nodiscard]] std::size_t requestCount() const noexcept
    {
        return this->requests.size();
    }

private:
    /** A front and the correlation that it chose. */
    using RequestId = std::pair<VmIncarnation, std::uint64_t>;

    struct Request
    {
        std::optional<OwnerRequestHandle> handle;
        std::uint32_t chunksSent = 0;
    };

    void receive(const VmIncarnation &sender, const PeerFrame &frame);
    void cancel(const RequestId &id);
    void linkBroken(const VmIncarnation &peer);
    [[nodiscard]] ResponseSink sinkFor(const RequestId &id);
    void sendChunk(const RequestId &id, const QByteArray &bytes);
    void send(const RequestId &id, FrameKind kind, const QByteArray &payload);

    PeerHub &hub;
    OwnerService &owner;
    std::map<RequestId, Request> requests;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late callbacks with this
};

} // namespace lacewingmux
