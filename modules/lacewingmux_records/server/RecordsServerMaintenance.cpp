#include "lacewingmux_records/server/RecordsServer.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_records/log/DurableLog.h"

namespace lacewingmux {

namespace {

// Bytes of needed records that are copied out of expired log files in one maintenance interval.
constexpr qsizetype maximumForwardBytes = qsizetype{2} * 1024 * 1024;
// Copying takes a few seconds. A VM that joins for longer leaves its group short of a disk.
constexpr std::chrono::seconds expectedJoiningTime{10};

} // namespace

void RecordsServer::runMaintenance()
{
    this->index.dropExpired(this->expiredBefore());
    this->copyNeededForward();
    this->log.dropExpired(this->expiredBefore(), this->index.firstSequence());
    this->quotas.raiseFloors(this->timers.now());
    this->reportSilentMembers();
    this->reportDispensableMember();
    this->reportJoining();
    this->reportAwaitedMember();
    this->metrics.set("lacewingmux_records_kept", {}, static_cast<double>(this->index.size()));
}

void RecordsServer::copyNeededForward()
{
    const std::uint64_t last = this->log.expiredUpTo(this->expiredBefore());
    qsizetype bytes = 0;
    while (bytes < maximumForwardBytes) {
        const auto next = this->index.namesAfter(this->copiedForwardUpTo, 1);
        if (next.empty() || next.front().first > last)
            return;
        this->copiedForwardUpTo = next.front().first;
        bytes += this->copyForward(next.front().first, next.front().second);
    }
}

qsizetype RecordsServer::copyForward(std::uint64_t sequence, const RecordName &name)
{
    std::optional<Record> record = this->log.read(sequence);
    if (!record)
        return 0;
    const qsizetype bytes = record->input.size() + record->output.size();
    record->expires = std::max(record->expires, this->index.keptUntil(name));
    if (this->index.isOnlyOwed(name, this->expiredBefore())) {
        // Its tokens still count, its text is not needed any more.
        record->kind = RecordKind::Settlement;
        record->parent.clear();
        record->input.clear();
        record->output.clear();
        this->log.whenDurable(this->append(*record), [this, name] { this->index.remove(name); });
        return bytes;
    }
    const std::uint64_t newSequence = this->log.append(*record);
    this->log.whenDurable(newSequence, [this, sequence, newSequence] {
        this->index.move(sequence, newSequence);
    });
    return bytes;
}

void RecordsServer::reportJoining()
{
    const TimerService::SteadyTime now = this->timers.now();
    const RecordsMember *self = this->view.member(this->hub.self());
    const bool isJoining =
            self != nullptr && self->state == MemberState::Joining && !this->view.isStandby(*self);
    if (!isJoining)
        this->joiningSince = std::nullopt;
    else if (!this->joiningSince)
        this->joiningSince = now;
    const auto duration = isJoining ? now - *this->joiningSince : std::chrono::nanoseconds(0);
    this->metrics.set("lacewingmux_records_joining_seconds", {},
                      std::chrono::duration<double>(duration).count());
    if (duration < expectedJoiningTime || now - this->lateJoiningLogged < expectedJoiningTime)
        return;
    this->lateJoiningLogged = now;
    LogEvent(LogSeverity::Warning, "recordsStillJoining")
            .field("seconds",
                   static_cast<qint64>(
                           std::chrono::duration_cast<std::chrono::seconds>(duration).count()))
            .field("sourcesCopied", this->sync.completedSources())
            .field("sourcesNeeded", this->joiningSources(*self))
            .field("recordsMissing", static_cast<qint64>(this->sync.missingCount()));
}

} // namespace lacewingmux
