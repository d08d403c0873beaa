#include "lacewingmux_records/client/RecordsClient.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Minimum retention of records, also for programs without retained turns.
constexpr milliseconds minimumRetention{60000};

} // namespace

void RecordsClient::store(const TurnRequest &turn, const QByteArray &input,
                          const QByteArray &output, std::int64_t tokens, StoredCallback callback)
{
    if (input.size() + output.size() > maximumTurnBytes) {
        this->settle(turn, tokens);
        LogEvent(LogSeverity::Warning, "turnNotKept")
                .field("request", QString::fromLatin1(turn.request))
                .field("reason", "it is too long")
                .field("bytes", static_cast<qint64>(input.size() + output.size()));
        callback(false);
        return;
    }
    const std::uint64_t correlation = this->nextCorrelation++;
    PendingWrite write;
    const int programGroup = this->view.groupOf(turn.program);
    write.group = turn.historyLocation.value_or(programGroup);
    write.record = this->recordOf(turn, RecordKind::Turn, tokens);
    write.record.parent = turn.previousTurn;
    write.record.input = input;
    write.record.output = output;
    write.retention = turn.retention;
    write.callback = std::move(callback);
    // In the program's own group, the turn's record also settles the reservation.
    if (write.group != programGroup)
        this->settle(turn, tokens);
    PendingWrite &pendingWrite =
            this->pendingWrites.emplace(correlation, std::move(write)).first->second;
    const auto timeLeft = std::chrono::ceil<milliseconds>(turn.deadline - this->timers.now());
    pendingWrite.timeout =
            this->timers.after(std::max(milliseconds(0), timeLeft),
                               [this, correlation] { this->finishWrite(correlation, false); });
    this->sendWrite(correlation, pendingWrite);
}

void RecordsClient::settle(const TurnRequest &turn, std::int64_t tokens)
{
    this->sendRecord(this->view.groupOf(turn.program),
                     this->recordOf(turn, RecordKind::Settlement, tokens), 0);
}

void RecordsClient::sendWrite(std::uint64_t correlation, PendingWrite &write)
{
    write.unacknowledged = this->sendRecord(write.group, write.record, correlation);
}

std::set<VmIncarnation> RecordsClient::sendRecord(int group, const Record &record,
                                                  std::uint64_t correlation)
{
    const QByteArray payload = RecordsCodec::encodeRecords({record});
    const RecordsView &groupView = this->viewOf(group);
    std::set<VmIncarnation> reached;
    for (const RecordsMember &member : groupView.members) {
        if ((member.state != MemberState::Leaving || groupView.needsLeavingCopies())
            && this->hub.send(member.vm.incarnation,
                              {FrameKind::WriteRecords, this->view.number, correlation, payload}))
            reached.insert(member.vm.incarnation);
    }
    return reached;
}

void RecordsClient::handleAck(const VmIncarnation &peer, const PeerFrame &frame)
{
    this->requestNewerView(peer, frame);
    const auto found = this->pendingWrites.find(frame.correlation);
    if (found == this->pendingWrites.end())
        return;
    const RecordsView &group = this->viewOf(found->second.group);
    if (group.member(peer) == nullptr || frame.epoch != this->view.number
        || found->second.unacknowledged.erase(peer) == 0)
        return;
    // A member acknowledges once more after its link broke: its disk still holds one copy.
    found->second.copies.insert(peer);
    if (group.isDurable(found->second.copies))
        this->finishWrite(frame.correlation, true);
}

void RecordsClient::finishWrite(std::uint64_t correlation, bool durable)
{
    auto entry = this->pendingWrites.extract(correlation);
    if (entry.empty())
        return;
    PendingWrite &write = entry.mapped();
    write.timeout.cancel();
    if (durable)
        this->cacheHistory(write); // of one that isn't, another VM may keep another run
    else
        LogEvent(LogSeverity::Warning, "turnNotKept")
                .field("request", QString::fromLatin1(write.record.key))
                .field("copies", static_cast<int>(write.copies.size()))
                .field("view", static_cast<quint64>(this->view.number));
    write.callback(durable);
}

void RecordsClient::cacheHistory(const PendingWrite &write)
{
    std::optional<CachedHistory> history = CachedHistory();
    if (!write.record.parent.isEmpty())
        history = this->cache.find(write.record.parent, write.record.team, this->timers.now());
    if (history)
        this->cache.put(write.record.key, write.record.team,
                        {history->bytes + write.record.input + write.record.output, write.group},
                        this->timers.now() + write.retention);
}

Record RecordsClient::recordOf(const TurnRequest &turn, RecordKind kind, std::int64_t tokens) const
{
    Record record;
    record.kind = kind;
    record.key = turn.request;
    record.program = turn.program;
    record.team = turn.team;
    record.tokens = tokens;
    // The response of a turn ends at its deadline at the latest, and the retention begins with
    // that.
    const auto timeLeft = std::chrono::ceil<milliseconds>(turn.deadline - this->timers.now());
    record.expires = this->timers.wallNow() + std::max(milliseconds(0), timeLeft)
                     + std::max(minimumRetention, turn.retention);
    return record;
}

} // namespace lacewingmux
