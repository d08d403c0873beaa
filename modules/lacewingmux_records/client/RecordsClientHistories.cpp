#include "lacewingmux_records/client/RecordsClient.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <vector>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Takes 15 ms on the slowest link of a records VM.
constexpr qsizetype partBytes = qsizetype{1024} * 1024;
// Time to read a part from disk and send it beside other traffic; a source that takes longer is
// probably paused or cut off.
constexpr milliseconds partTimeout{400};
// Bounds the memory for histories that are not complete. Several transfers would share the links.
constexpr std::ptrdiff_t maximumTransfers = 1;

} // namespace

void RecordsClient::continueTransfer(std::uint64_t correlation)
{
    const auto found = this->pendingOpenings.find(correlation);
    if (found == this->pendingOpenings.end())
        return;
    PendingOpening &opening = found->second;
    if (!opening.transfer || opening.transfer->isComplete() || opening.transfer->source()
        || this->activeTransfers() >= maximumTransfers)
        return;
    const std::optional<VmIncarnation> source = this->nextTransferSource(opening);
    if (!source)
        return; // another member's reply or the timeout decides
    opening.transfer->useSource(*source);
    this->requestPart(correlation, opening);
}

std::optional<VmIncarnation> RecordsClient::nextTransferSource(const PendingOpening &opening) const
{
    for (const VmIncarnation &holder : opening.quorum.historyHolders()) {
        if (!opening.transfer->hasFailedAt(holder) && this->hub.isConnected(holder))
            return holder;
    }
    return std::nullopt;
}

void RecordsClient::requestPart(std::uint64_t correlation, PendingOpening &opening)
{
    const HistoryPartRequestMessage message{opening.turn.team, opening.turn.previousTurn,
                                            opening.transfer->position(), partBytes};
    this->hub.send(*opening.transfer->source(),
                   {FrameKind::HistoryPartRequest, this->view.number, correlation,
                    RecordsCodec::encodeHistoryPartRequest(message)});
    opening.partTimer = this->timers.after(
            partTimeout, [this, correlation] { this->changeTransferSource(correlation); });
}

void RecordsClient::handlePart(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto found = this->pendingOpenings.find(frame.correlation);
    const auto part = RecordsCodec::decodeHistoryPart(frame.payload);
    if (found == this->pendingOpenings.end() || !found->second.transfer || !part)
        return;
    PendingOpening &opening = found->second;
    if (!opening.transfer->add(peer, *part)) {
        const bool isRefusal =
                opening.transfer->source() == peer && part->chain != ChainStatus::Found;
        if (isRefusal)
            this->changeTransferSource(frame.correlation);
        return;
    }
    this->lastPartAt = this->timers.now();
    if (opening.transfer->bytes().size() > this->limits.maximumHistoryBytes) {
        this->finishOpening(frame.correlation, TurnOutcome::HistoryTooLong);
    } else if (opening.transfer->isComplete()) {
        opening.partTimer.cancel();
        opening.quorum.addHistory(opening.transfer->bytes());
        this->continueOpening(frame.correlation);
        this->continueWaitingTransfers();
    } else {
        this->requestPart(frame.correlation, opening);
    }
}

void RecordsClient::changeTransferSource(std::uint64_t correlation)
{
    PendingOpening &opening = this->pendingOpenings.at(correlation);
    LogEvent(LogSeverity::Info, "historySourceChanged")
            .field("request", QString::fromLatin1(opening.turn.request))
            .field("source",
                   opening.transfer->source() ? opening.transfer->source()->vm : QString())
            .field("bytes", static_cast<qint64>(opening.transfer->bytes().size()));
    opening.partTimer.cancel();
    opening.transfer->dropSource();
    this->continueTransfer(correlation);
    if (!opening.transfer->source())
        this->continueWaitingTransfers();
}

void RecordsClient::continueWaitingTransfers()
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[correlation, opening] : this->pendingOpenings) {
        if (opening.transfer && !opening.transfer->isComplete() && !opening.transfer->source())
            waiting.push_back(correlation);
    }
    for (const std::uint64_t correlation : waiting)
        this->continueTransfer(correlation);
}

std::ptrdiff_t RecordsClient::activeTransfers() const
{
    return std::count_if(this->pendingOpenings.begin(), this->pendingOpenings.end(),
                         [](const auto &entry) {
                             return entry.second.transfer && entry.second.transfer->source();
                         });
}

} // namespace lacewingmux
