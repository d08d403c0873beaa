#include "lacewingmux_records/server/RecordsServer.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <algorithm>
#include <utility>

/*
 * What a RecordsServer decides about silent members: whether a standby or a joining member may take
 * their place, whether the group can go on without them, or has to wait for their disks.
 */

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A member may be replaced after this silence, which is much longer than a restart takes.
constexpr milliseconds replacementDelay{7500};
// A standby may replace a silent member sooner, as the standby already has all records. The
// replacement must be complete well before the loss of another disk has to be tolerated; the
// strictest deployment requires this 4 s after the first loss.
constexpr milliseconds standbyTakeoverDelay{2500};
// The position in the log is noted after this silence. Shorter than the one that others report.
constexpr milliseconds silenceThreshold{1000};
// A change of the view takes a few round trips to the store.
constexpr milliseconds placeReportInterval{1000};
// Most joining members have copied everything by then, and need no further change of the view.
constexpr milliseconds predecessorReportDelay{1000};
constexpr std::chrono::seconds awaitedLogInterval{10};
constexpr const char *awaitedMetric = "lacewingmux_records_awaited_seconds";
// A standby is up to date if its copies of the others' logs are at most this old: about three
// intervals between pull requests.
constexpr milliseconds upToDateWindow{800};

} // namespace

void RecordsServer::reportSilentMembers()
{
    const TimerService::SteadyTime now = this->timers.now();
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->hub.self())
            continue;
        const auto last = this->silence.lastRequestAt(peer);
        if (now - last > replacementDelay)
            this->hooks.memberSilent(peer);
        if (now - last > standbyTakeoverDelay && member.state == MemberState::Synced
            && this->isUpToDateStandby(now))
            this->hooks.standbyCanReplace(peer);
        else if (now - last > standbyTakeoverDelay && member.state == MemberState::Synced)
            this->hooks.standbyNeeded(peer);
    }
}

bool RecordsServer::isUpToDateStandby(TimerService::SteadyTime now) const
{
    const RecordsMember *self = this->view.member(this->hub.self());
    return self != nullptr && this->view.isStandby(*self)
           && this->sync.completedSources(now - upToDateWindow) >= this->takeoverSources(*self);
}

void RecordsServer::reportLostPlaces()
{
    const TimerService::SteadyTime now = this->timers.now();
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        const auto duration = now - this->silence.lastRequestAt(peer);
        if (peer == this->hub.self() || duration < silenceThreshold)
            this->positionAtSilence.erase(peer);
        else
            this->positionAtSilence.try_emplace(peer, this->index.lastSequence());
    }
    if (now - this->placeReportedAt < placeReportInterval)
        return;
    const auto lost = std::find_if(this->view.members.begin(), this->view.members.end(),
                                   [this, now](const auto &member) {
                                       return this->isPlaceLost(member.vm.incarnation, now);
                                   });
    if (lost != this->view.members.end())
        this->reportLostPlace(lost->vm.incarnation, now);
}

bool RecordsServer::isPlaceLost(const VmIncarnation &peer, TimerService::SteadyTime now) const
{
    const auto duration = now - this->silence.lastRequestAt(peer);
    return peer != this->hub.self() && duration >= standbyTakeoverDelay
           && this->silence.isPlaceLost(peer, now) && this->isCopiedBeside(peer);
}

void RecordsServer::reportLostPlace(const VmIncarnation &peer, TimerService::SteadyTime now)
{
    this->placeReportedAt = now;
    const auto duration = now - this->silence.lastRequestAt(peer);
    LogEvent(LogSeverity::Info, "recordsPlaceLost")
            .field("vm", peer.vm)
            .field("silentMilliseconds",
                   static_cast<qint64>(std::chrono::duration_cast<milliseconds>(duration).count()));
    this->hooks.placeLost(peer, this->view.number);
}

bool RecordsServer::isCopiedBeside(const VmIncarnation &silent) const
{
    const auto position = this->positionAtSilence.find(silent);
    if (position == this->positionAtSilence.end())
        return false;
    const int needed = this->sourcesBeside(silent);
    return this->membersWithCopiesUpTo(position->second, silent) >= needed
           && this->sync.sourcesCopiedSince(this->silence.lastRequestAt(silent)) >= needed;
}

int RecordsServer::sourcesBeside(const VmIncarnation &silent) const
{
    // A record was acknowledged by more members than disks may be lost. Of the members whose copies
    // count, at most that many may remain unread: this silent one, joining members that have not
    // been copied, or the lost disks that these stand for, and further members.
    const auto since = this->silence.lastRequestAt(silent);
    int sources = 0;
    int unreadIncomplete = 0;
    for (const RecordsMember &member : this->view.members) {
        if (member.hasAllRecords())
            ++sources;
        else if (!this->view.isStandby(member)
                 && !this->sync.isCopiedSince(member.vm.incarnation, since))
            ++unreadIncomplete;
    }
    const int unread = std::max(unreadIncomplete, this->view.lostDisks());
    return std::max(0, sources + unread - this->view.toleratedDisks - 1);
}

std::ptrdiff_t RecordsServer::membersWithCopiesUpTo(std::uint64_t position,
                                                    const VmIncarnation &exception) const
{
    return std::count_if(this->view.members.begin(), this->view.members.end(),
                         [&](const auto &member) {
                             const auto copied = this->copiedTo.find(member.vm.incarnation);
                             return member.hasAllRecords() && member.vm.incarnation != exception
                                    && copied != this->copiedTo.end() && copied->second >= position;
                         });
}

void RecordsServer::reportCopiedPredecessors()
{
    const TimerService::SteadyTime now = this->timers.now();
    const RecordsMember *self = this->view.member(this->hub.self());
    if (self == nullptr || self->state != MemberState::Synced
        || now - this->viewAdoptedAt < predecessorReportDelay
        || now - this->predecessorsReportedAt < placeReportInterval)
        return;
    const std::set<VmIncarnation> silentLeaving = this->silentLeavingMembers();
    if (this->view.lostDisks() == 0 && silentLeaving.empty())
        return;
    // A leaving member that is silent no longer has to be copied as well.
    if (!this->sync.hasCopiedEarlierViews(silentLeaving)) {
        this->positionWhenCopied = std::nullopt;
        return;
    }
    if (!this->positionWhenCopied)
        this->positionWhenCopied = this->index.lastSequence();
    if (!this->haveAllCopiesUpTo(*this->positionWhenCopied, silentLeaving))
        return;
    this->predecessorsReportedAt = now;
    this->hooks.predecessorsCopied(silentLeaving, this->view.number);
}

bool RecordsServer::haveAllCopiesUpTo(std::uint64_t position,
                                      const std::set<VmIncarnation> &exceptions) const
{
    return std::all_of(this->view.members.begin(), this->view.members.end(),
                       [&](const auto &member) {
                           const VmIncarnation &peer = member.vm.incarnation;
                           const auto copied = this->copiedTo.find(peer);
                           return !member.hasAllRecords() || peer == this->hub.self()
                                  || exceptions.contains(peer)
                                  || (copied != this->copiedTo.end() && copied->second >= position);
                       });
}

std::set<VmIncarnation> RecordsServer::silentLeavingMembers() const
{
    std::set<VmIncarnation> silentLeaving;
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (member.state == MemberState::Leaving
            && this->timers.now() - this->silence.lastRequestAt(peer) > standbyTakeoverDelay)
            silentLeaving.insert(peer);
    }
    // A record can't have been both on a lost disk and on the member that copies in its place.
    const auto lostDisks = std::count_if(
            this->view.members.begin(), this->view.members.end(), [&](const auto &member) {
                return !member.hasAllRecords() && !this->view.isStandby(member)
                       && !member.predecessorCopied
                       && !silentLeaving.contains(member.vm.incarnation);
            });
    const auto unread = lostDisks + static_cast<std::ptrdiff_t>(silentLeaving.size());
    const bool areDispensable =
            unread <= this->view.toleratedDisks
            && this->respondingMembers(&RecordsMember::hasAllRecords) > this->view.toleratedDisks;
    return areDispensable ? silentLeaving : std::set<VmIncarnation>();
}

void RecordsServer::reportDispensableMember()
{
    const TimerService::SteadyTime now = this->timers.now();
    if (this->respondingMembers(&RecordsMember::hasAllRecords) <= this->view.toleratedDisks)
        return;
    const auto dispensable = std::find_if(
            this->view.members.begin(), this->view.members.end(), [this, now](const auto &member) {
                const VmIncarnation &peer = member.vm.incarnation;
                return peer != this->hub.self() && member.state != MemberState::Leaving
                       && !this->view.isStandby(member) && !this->hasSuccessorOf(peer)
                       && now - this->silence.lastRequestAt(peer) >= replacementDelay
                       && this->silence.isSilenceAgreed(peer, now) && this->isCopiedBeside(peer);
            });
    if (dispensable == this->view.members.end())
        return;
    LogEvent(LogSeverity::Info, "recordsVmDispensable").field("vm", dispensable->vm.incarnation.vm);
    this->hooks.silentMemberDispensable(dispensable->vm.incarnation, this->view.number);
}

bool RecordsServer::hasSuccessorOf(const VmIncarnation &silent) const
{
    return std::any_of(this->view.members.begin(), this->view.members.end(),
                       [&silent](const auto &member) {
                           return !member.hasAllRecords() && member.vm.incarnation != silent;
                       });
}

int RecordsServer::respondingMembers(const MemberTest &test) const
{
    return static_cast<int>(std::count_if(this->view.members.begin(), this->view.members.end(),
                                          [this, &test](const auto &member) {
                                              return test(member)
                                                     && this->isResponding(member.vm.incarnation);
                                          }));
}

bool RecordsServer::isResponding(const VmIncarnation &member) const
{
    return member == this->hub.self()
           || this->timers.now() - this->silence.lastRequestAt(member) < silenceThreshold;
}

const RecordsMember *RecordsServer::awaitedMember() const
{
    const TimerService::SteadyTime now = this->timers.now();
    const auto awaitedEntry = std::find_if(
            this->view.members.begin(), this->view.members.end(), [this, now](const auto &member) {
                const VmIncarnation &peer = member.vm.incarnation;
                return peer != this->hub.self()
                       && now - this->silence.lastRequestAt(peer) >= standbyTakeoverDelay
                       && this->silence.isPlaceLost(peer, now) && !this->isCopiedBeside(peer);
            });
    return awaitedEntry == this->view.members.end() ? nullptr : &*awaitedEntry;
}

void RecordsServer::reportAwaitedMember()
{
    const TimerService::SteadyTime now = this->timers.now();
    const RecordsMember *member = this->awaitedMember();
    const VmIncarnation previous = std::exchange(
            this->awaited, member == nullptr ? VmIncarnation() : member->vm.incarnation);
    if (!previous.vm.isEmpty() && previous != this->awaited)
        this->metrics.set(awaitedMetric, {{QStringLiteral("vm"), previous.vm}}, 0);
    if (member == nullptr)
        return;
    const auto duration = now - this->silence.lastRequestAt(this->awaited);
    this->metrics.set(awaitedMetric, {{QStringLiteral("vm"), this->awaited.vm}},
                      std::chrono::duration<double>(duration).count());
    if (previous == this->awaited && now - this->awaitedLogged < awaitedLogInterval)
        return;
    this->awaitedLogged = now;
    LogEvent(LogSeverity::Warning, "recordsVmAwaited")
            .field("vm", this->awaited.vm)
            .field("silentMilliseconds",
                   static_cast<qint64>(std::chrono::duration_cast<milliseconds>(duration).count()))
            .field("lostDisks", this->view.lostDisks())
            .field("sourcesCopied",
                   this->sync.sourcesCopiedSince(this->silence.lastRequestAt(this->awaited)))
            .field("sourcesNeeded", this->sourcesBeside(this->awaited));
}

} // namespace lacewingmux
