#include "lacewingmux_http/forward/ForwardReceiver.h"

#include "lacewingmux_http/forward/ForwardCodec.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <algorithm>
#include <vector>

namespace lacewingmux {

namespace {

constexpr qsizetype largestChunkBytes = 262144;

} // namespace

ForwardReceiver::ForwardReceiver(PeerHub &trafficHub, OwnerService &localOwner)
    : hub(trafficHub)
    , owner(localOwner)
{
    this->hub.setHandler(
            FrameKind::OwnerRequest,
            [this, token = this->alive](const VmIncarnation &sender, const PeerFrame &frame) {
                if (*token)
                    this->receive(sender, frame);
            });
    this->hub.setHandler(
            FrameKind::OwnerRequestCancel,
            [this, token = this->alive](const VmIncarnation &sender, const PeerFrame &frame) {
                if (*token)
                    this->cancel({sender, frame.correlation});
            });
    this->hub.addLinkHandler([this, token = this->alive](const VmIncarnation &peer, bool up) {
        if (*token && !up)
            this->linkBroken(peer);
    });
}

ForwardReceiver::~ForwardReceiver()
{
    *this->alive = false;
}

void ForwardReceiver::receive(const VmIncarnation &sender, const PeerFrame &frame)
{
    const RequestId id{sender, frame.correlation};
    if (!this->requests.emplace(id, Request()).second)
        return; // the same request twice
    const auto request = decodeOwnerRequest(frame.payload);
    if (!request) {
        this->send(id, FrameKind::OwnerResponseError,
                   encode(LacewingmuxError(ErrorKind::ProtocolViolation,
                                           QStringLiteral("the forwarded request is damaged"))));
        this->requests.erase(id);
        return;
    }
    const OwnerRequestHandle handle = this->owner.handle(*request, this->sinkFor(id));
    const auto found = this->requests.find(id);
    if (found != this->requests.end())
        found->second.handle = handle;
}

void ForwardReceiver::cancel(const RequestId &id)
{
    const auto node = this->requests.extract(id);
    if (!node.empty() && node.mapped().handle)
        this->owner.callerGone(*node.mapped().handle);
}

void ForwardReceiver::linkBroken(const VmIncarnation &peer)
{
    std::vector<RequestId> concerned;
    for (const auto &[id, request] : this->requests) {
        if (id.first == peer)
            concerned.push_back(id);
    }
    for (const RequestId &id : concerned) {
        this->cancel(id);
        // Reaches a front that is linked anew already and has sent the request again.
        this->send(id, FrameKind::OwnerResponseError,
                   encode(LacewingmuxError(ErrorKind::OwnerUnavailable,
                                           QStringLiteral("the link broke"), Executed::Unknown)));
    }
}

ResponseSink ForwardReceiver::sinkFor(const RequestId &id)
{
    ResponseSink sink;
    sink.begin = [this, id, token = this->alive](int status,
                                                 const std::vector<HttpHeader> &headers) {
        if (*token && this->requests.count(id) > 0)
            this->send(id, FrameKind::OwnerResponseHead, encode(ForwardedHead{status, headers}));
    };
    sink.chunk = [this, id, token = this->alive](const QByteArray &bytes) {
        if (*token)
            this->sendChunk(id, bytes);
    };
    sink.end = [this, id, token = this->alive] {
        const auto node =
                *token ? this->requests.extract(id) : decltype(this->requests)::node_type();
        if (!node.empty())
            this->send(id, FrameKind::OwnerResponseEnd,
                       encode(ForwardedEnd{node.mapped().chunksSent}));
    };
    sink.fail = [this, id, token = this->alive](const LacewingmuxError &error) {
        if (*token && this->requests.erase(id) > 0)
            this->send(id, FrameKind::OwnerResponseError, encode(error));
    };
    return sink;
}

void ForwardReceiver::sendChunk(const RequestId &id, const QByteArray &bytes)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    for (qsizetype start = 0; start < bytes.size(); start += largestChunkBytes) {
        const qsizetype size = std::min(largestChunkBytes, bytes.size() - start);
        const ForwardedChunk chunk{found->second.chunksSent++, bytes.mid(start, size)};
        this->send(id, FrameKind::OwnerResponseChunk, encode(chunk));
    }
}

void ForwardReceiver::send(const RequestId &id, FrameKind kind, const QByteArray &payload)
{
    PeerFrame frame;
    frame.kind = kind;
    frame.correlation = id.second;
    frame.payload = payload;
    this->hub.send(id.first, frame);
}

} // namespace lacewingmux
