#include "lacewingmux_zone/replication/PeerOutbox.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_peer/messages/PeerFrame.h"
#include "lacewingmux_zone/replication/JournalCodec.h"

#include <utility>

namespace lacewingmux {

namespace {

/** Approximate size of a message without its entries, in bytes. */
constexpr std::size_t messageOverheadBytes = 64;

std::size_t sizeOf(const AppendEntry &entry)
{
    return messageOverheadBytes + static_cast<std::size_t>(entry.change.entry.size());
}

std::size_t sizeOf(const StatePiece &piece)
{
    std::size_t bytes = messageOverheadBytes;
    for (const AggregateRecord &record : piece.records) {
        for (const QByteArray &entry : record.entries)
            bytes += static_cast<std::size_t>(entry.size());
    }
    return bytes;
}

/** Calls the function with batches of messages within the limit, or of one larger message. */
template <typename Message, typename Function>
void forEachFrame(const std::vector<Message> &messages, std::size_t limit, Function function)
{
    std::vector<Message> frame;
    std::size_t bytes = 0;
    for (const Message &message : messages) {
        const std::size_t size = sizeOf(message);
        if (!frame.empty() && bytes + size > limit) {
            function(std::exchange(frame, {}));
            bytes = 0;
        }
        frame.push_back(message);
        bytes += size;
    }
    if (!frame.empty())
        function(frame);
}

} // namespace

PeerOutbox::PeerOutbox(PeerHub &peerHub, TimerService &timerService, std::size_t frameLimit)
    : hub(peerHub)
    , timers(timerService)
    , frameBytes(frameLimit)
{ }

PeerOutbox::~PeerOutbox()
{
    *this->alive = false;
}

void PeerOutbox::beginEpoch(std::uint64_t newEpoch)
{
    this->epoch = newEpoch;
    this->pendingMessages.clear();
}

PeerMessages &PeerOutbox::messagesFor(const VmIncarnation &peer)
{
    if (!this->flushScheduled) {
        this->flushScheduled = true;
        this->timers.post([this, token = this->alive] {
            if (*token)
                this->flush();
        });
    }
    return this->pendingMessages[peer];
}

void PeerOutbox::sendWithoutPayload(const VmIncarnation &peer, FrameKind kind)
{
    this->send(peer, kind, {});
}

void PeerOutbox::setFailureHandler(FailureHandler handler)
{
    this->failureHandler = std::move(handler);
}

void PeerOutbox::flush()
{
    this->flushScheduled = false;
    for (const auto &[peer, messages] : std::exchange(this->pendingMessages, {}))
        this->flushTo(peer, messages);
}

void PeerOutbox::flushTo(const VmIncarnation &peer, const PeerMessages &messages)
{
    if (!messages.surveys.empty())
        this->send(peer, FrameKind::SlotSurvey, JournalCodec::encodeSurvey(messages.surveys));
    if (!messages.answers.empty())
        this->send(peer, FrameKind::SlotSurveyReply, JournalCodec::encodeAnswers(messages.answers));
    if (!messages.requests.empty())
        this->send(peer, FrameKind::SlotSync, JournalCodec::encodeRequests(messages.requests));
    forEachFrame(messages.servedPieces, this->frameBytes, [&](const std::vector<StatePiece> &run) {
        this->send(peer, FrameKind::SlotSyncReply, JournalCodec::encodePieces(run));
    });
    forEachFrame(messages.pushedPieces, this->frameBytes, [&](const std::vector<StatePiece> &run) {
        this->send(peer, FrameKind::SlotState, JournalCodec::encodePieces(run));
    });
    if (!messages.stateAcks.empty())
        this->send(peer, FrameKind::SlotStateAck,
                   JournalCodec::encodeStateAcks(messages.stateAcks));
    if (!messages.activated.empty())
        this->send(peer, FrameKind::SlotActivated,
                   JournalCodec::encodeActivated(messages.activated));
    if (!messages.activatedRequests.empty())
        this->send(peer, FrameKind::SlotActivatedRequest,
                   JournalCodec::encodeActivatedRequest(messages.activatedRequests));
    forEachFrame(messages.appends, this->frameBytes, [&](const std::vector<AppendEntry> &run) {
        this->send(peer, FrameKind::JournalAppend, JournalCodec::encodeAppends(run));
    });
    if (!messages.appendAcks.empty())
        this->send(peer, FrameKind::JournalAck,
                   JournalCodec::encodeAppendAcks(messages.appendAcks));
}

void PeerOutbox::send(const VmIncarnation &peer, FrameKind kind, QByteArray payload)
{
    const PeerFrame frame{kind, this->epoch, 0, std::move(payload)};
    if (!this->hub.send(peer, frame) && this->failureHandler)
        this->failureHandler(peer);
}

} // namespace lacewingmux
