#include "lacewingmux_records/members/RecordsMembership.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
#include "lacewingmux_records/members/RecordsGroups.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds retryDelay{400}; // a few round trips to a slow store
// The VMs of a first start come within 0.3 s; several times that, as their processes start slowly.
constexpr std::chrono::milliseconds formingTime{1500};
constexpr std::chrono::milliseconds sealingStagger{150};

RecordsMember *memberIn(RecordsView &view, const VmIncarnation &incarnation)
{
    const auto found = std::find_if(
            view.members.begin(), view.members.end(),
            [&incarnation](const auto &member) { return member.vm.incarnation == incarnation; });
    return found == view.members.end() ? nullptr : &*found;
}

/** Returns the view in the store, with the number 0 if there is none. Throws if it can't be read:
    a change would replace all members. */
RecordsView storedView(const QByteArray &document)
{
    const std::optional<RecordsView> view = RecordsView::fromDocument(document);
    if (!view && !document.isEmpty()) {
        LogEvent(LogSeverity::Error, "recordsViewUnreadable")
                .field("bytes", static_cast<qint64>(document.size()));
        throw LacewingmuxError(ErrorKind::StoreUnavailable,
                               QStringLiteral("the value of %1 in the store is no view")
                                       .arg(QLatin1String(recordsViewKey)));
    }
    return view.value_or(RecordsView());
}

} // namespace

RecordsMembership::RecordsMembership(PlatformStore &platformStore, TimerService &timerService,
                                     const VmDescriptor &ownVm, int toleratedDisks, bool firstStart,
                                     ViewHook viewHook)
    : store(platformStore)
    , timers(timerService)
    , self(ownVm)
    , toleratedDiskCount(toleratedDisks)
    , isFirstStart(firstStart)
    , viewChanged(std::move(viewHook))
{ }

void RecordsMembership::start()
{
    this->watch = this->store.watchValue(
            recordsViewKey, [this](const QByteArray &document) { this->adopt(document); });
    this->join();
}

void RecordsMembership::adoptViewDocument(const QByteArray &document)
{
    this->adopt(document);
}

void RecordsMembership::join()
{
    this->update(
            "join",
            [this](const RecordsView &view) {
                return withJoined(view, this->self, this->isFirstStart, this->toleratedDiskCount);
            },
            [this] {
                this->joined = true;
                // If it has to join again, the group has its size already.
                this->isFirstStart = false;
            });
}

void RecordsMembership::declareSynced()
{
    this->update(
            "synced",
            [this](const RecordsView &view) -> std::optional<RecordsView> {
                RecordsView next = view;
                RecordsMember *member = memberIn(next, this->self.incarnation);
                if (member == nullptr || member->hasAllRecords()
                    || view.ofGroup(member->group).isStandby(*member))
                    return std::nullopt;
                if (member->state == MemberState::Joining)
                    member->state = MemberState::Synced;
                member->syncSources = 0;
                return next;
            },
            nullptr);
}

void RecordsMembership::beginLeaving()
{
    if (std::exchange(this->leaving, true))
        return;
    this->update(
            "leaving",
            [this](const RecordsView &view) -> std::optional<RecordsView> {
                RecordsView next = view;
                RecordsMember *member = memberIn(next, this->self.incarnation);
                if (member == nullptr || member->state == MemberState::Leaving)
                    return std::nullopt;
                member->state = MemberState::Leaving;
                return next;
            },
            nullptr);
}

void RecordsMembership::leave(const std::function<void()> &left)
{
    this->update(
            "left",
            [this](const RecordsView &view) -> std::optional<RecordsView> {
                RecordsView next = view;
                const auto removed = std::erase_if(next.members, [this](const auto &member) {
                    return member.vm.incarnation == this->self.incarnation;
                });
                return removed == 0 ? std::nullopt : std::optional(next);
            },
            left);
}

void RecordsMembership::removeSilentMember(const VmIncarnation &silent)
{
    this->update(
            {"replaced", silent},
            [silent](const RecordsView &view) { return withoutSilentMember(view, silent); },
            nullptr, RetryPolicy::UntilSuccess);
}

void RecordsMembership::replaceAsStandby(const VmIncarnation &silent)
{
    this->update(
            "placeTaken",
            [this, silent](const RecordsView &view) {
                return withStandbyPromoted(view, silent, this->self.incarnation);
            },
            nullptr, RetryPolicy::Once);
}

void RecordsMembership::freePlace(const VmIncarnation &silent, std::uint64_t decidedNumber)
{
    this->update(
            "placeFreed",
            [silent, decidedNumber](const RecordsView &view) {
                return withPlaceFreed(view, silent, decidedNumber);
            },
            nullptr, RetryPolicy::Once);
}

void RecordsMembership::notePredecessorsCopied(const std::set<VmIncarnation> &silentLeaving,
                                               std::uint64_t decidedNumber)
{
    const RecordsMember *own = this->current.member(this->self.incarnation);
    if (own == nullptr)
        return;
    this->update(
            "predecessorsCopied",
            [group = own->group, silentLeaving, decidedNumber](const RecordsView &view) {
                return withPredecessorsCopied(view, group, silentLeaving, decidedNumber);
            },
            nullptr, RetryPolicy::Once);
}

void RecordsMembership::letSilentMemberLeave(const VmIncarnation &silent,
                                             std::uint64_t decidedNumber)
{
    this->update(
            "silentMemberLeaving",
            [silent, decidedNumber](const RecordsView &view) {
                return withSilentMemberLeaving(view, silent, decidedNumber);
            },
            nullptr, RetryPolicy::Once);
}

void RecordsMembership::requestStandby(const VmIncarnation &silent)
{
    if (!RecordsGroups::withStandbyMoved(this->current, silent))
        return;
    this->update(
            "standbyMoved",
            [silent](const RecordsView &view) {
                return RecordsGroups::withStandbyMoved(view, silent);
            },
            nullptr, RetryPolicy::Once);
}

std::optional<RecordsView> RecordsMembership::withSealedGroups(const RecordsView &view)
{
    if (!view.isForming)
        return std::nullopt;
    RecordsView next = view;
    next.isForming = false;
    return next;
}

void RecordsMembership::scheduleSealing()
{
    if (!this->current.isForming) {
        this->sealTimer.cancel();
        return;
    }
    // The first member does it; the others only if it fails.
    const auto own = std::find_if(
            this->current.members.begin(), this->current.members.end(),
            [this](const auto &entry) { return entry.vm.incarnation == this->self.incarnation; });
    const auto rank = own - this->current.members.begin();
    this->sealTimer = this->timers.after(formingTime + rank * sealingStagger, [this] {
        this->update("sealed", withSealedGroups, nullptr);
    });
}

std::optional<RecordsView>
RecordsMembership::withStandbyPromoted(const RecordsView &view, const VmIncarnation &silent,
                                       const VmIncarnation &standbyIncarnation)
{
    const RecordsMember *lost = view.member(silent);
    const RecordsMember *standby = view.member(standbyIncarnation);
    if (lost == nullptr || lost->state != MemberState::Synced || standby == nullptr
        || standby->group != lost->group || !view.ofGroup(lost->group).isStandby(*standby))
        return std::nullopt;
    RecordsView next = view;
    RecordsMember *successor = memberIn(next, standbyIncarnation);
    successor->state = MemberState::Synced;
    successor->syncSources = 0;
    std::erase_if(next.members,
                  [&silent](const auto &entry) { return entry.vm.incarnation == silent; });
    return next;
}

std::optional<RecordsView> RecordsMembership::withJoined(const RecordsView &view,
                                                         const VmDescriptor &vm, bool firstStart,
                                                         int toleratedDisks)
{
    RecordsView next = view;
    if (RecordsMember *known = memberIn(next, vm.incarnation)) {
        if (known->vm == vm)
            return std::nullopt;
        known->vm = vm;
        return next;
    }
    const RecordsMember *replaced = view.memberOnVm(vm.incarnation.vm);
    next.toleratedDisks = toleratedDisks;
    RecordsMember member;
    member.vm = vm;
    if (firstStart && (view.number == 0 || view.isForming)) {
        std::erase_if(next.members, [&vm](const auto &entry) {
            return entry.vm.incarnation.vm == vm.incarnation.vm;
        });
        member.state = MemberState::Synced;
        next.members.push_back(member);
        next.isForming = true;
        next.targetSize = std::max(next.targetSize, static_cast<int>(next.members.size()));
        RecordsGroups::deal(next);
        return next;
    }
    member.group = replaced != nullptr ? replaced->group
                                       : RecordsGroups::groupForJoiner(view, vm.incarnation);
    // Includes the disk that this one replaces, which is one of the disks that may be lost.
    member.syncSources = RecordsGroups::syncSources(view.ofGroup(member.group));
    member.predecessorCopied = replaced == nullptr;
    std::erase_if(next.members, [&vm](const auto &entry) {
        return entry.vm.incarnation.vm == vm.incarnation.vm;
    });
    // A VM of the first start that comes late belongs to the members that were meant to be there.
    if (firstStart) {
        ++next.targetSize;
        if (!next.groupSizes.empty())
            ++next.groupSizes[static_cast<std::size_t>(member.group)];
    }
    next.members.push_back(member);
    return next;
}

std::optional<RecordsView> RecordsMembership::withoutSilentMember(const RecordsView &view,
                                                                  const VmIncarnation &silent)
{
    const RecordsMember *member = view.member(silent);
    if (member == nullptr)
        return std::nullopt;
    const RecordsView group = view.ofGroup(member->group);
    const int others = group.syncedCount() - (member->state == MemberState::Synced ? 1 : 0);
    if (others < group.targetSize)
        return std::nullopt;
    RecordsView next = view;
    std::erase_if(next.members,
                  [&silent](const auto &entry) { return entry.vm.incarnation == silent; });
    return next;
}

std::optional<RecordsView> RecordsMembership::withPlaceFreed(const RecordsView &view,
                                                             const VmIncarnation &silent,
                                                             std::uint64_t decidedNumber)
{
    const RecordsMember *lost = view.member(silent);
    if (view.number != decidedNumber || lost == nullptr || lost->state == MemberState::Joining)
        return std::nullopt;
    RecordsView next = view;
    const auto isSuccessor = [group = lost->group](const auto &member) {
        return member.group == group && member.state == MemberState::Joining;
    };
    const auto successor = std::find_if(next.members.begin(), next.members.end(), isSuccessor);
    if (successor == next.members.end())
        return std::nullopt;
    // A member that has not adopted the new view yet may still acknowledge records together with
    // the silent one.
    const auto withoutPredecessor =
            std::find_if(successor, next.members.end(), [&isSuccessor](const auto &member) {
                return isSuccessor(member) && member.predecessorCopied;
            });
    if (withoutPredecessor != next.members.end())
        withoutPredecessor->predecessorCopied = false;
    std::erase_if(next.members,
                  [&silent](const auto &entry) { return entry.vm.incarnation == silent; });
    return next;
}

std::optional<RecordsView>
RecordsMembership::withPredecessorsCopied(const RecordsView &view, int group,
                                          const std::set<VmIncarnation> &silentLeaving,
                                          std::uint64_t decidedNumber)
{
    if (view.number != decidedNumber)
        return std::nullopt;
    RecordsView next = view;
    const auto removed = std::erase_if(next.members, [&silentLeaving](const auto &member) {
        return member.state == MemberState::Leaving
               && silentLeaving.contains(member.vm.incarnation);
    });
    if (removed == 0 && view.ofGroup(group).lostDisks() == 0)
        return std::nullopt;
    for (RecordsMember &member : next.members) {
        if (member.group == group && !member.hasAllRecords())
            member.predecessorCopied = true;
    }
    return next;
}

std::optional<RecordsView> RecordsMembership::withSilentMemberLeaving(const RecordsView &view,
                                                                      const VmIncarnation &silent,
                                                                      std::uint64_t decidedNumber)
{
    RecordsView next = view;
    RecordsMember *member = memberIn(next, silent);
    if (view.number != decidedNumber || member == nullptr || member->state == MemberState::Leaving)
        return std::nullopt;
    member->state = MemberState::Leaving;
    return next;
}

std::optional<RecordsView> RecordsMembership::withoutLostVm(const RecordsView &view,
                                                            const QString &vm)
{
    const RecordsMember *lost = view.memberOnVm(vm);
    if (lost == nullptr)
        return std::nullopt;
    const int others =
            view.ofGroup(lost->group).syncedCount() - (lost->state == MemberState::Synced ? 1 : 0);
    if (others == 0)
        throw LacewingmuxError(
                ErrorKind::ConfigurationConflict,
                QStringLiteral("no other records VM of the group of %1 is synced").arg(vm));
    std::optional<RecordsView> next = withPlaceFreed(view, lost->vm.incarnation, view.number);
    if (!next)
        throw LacewingmuxError(ErrorKind::ConfigurationConflict,
                               QStringLiteral("no records VM has joined to replace %1").arg(vm));
    ++next->number;
    return next;
}

void RecordsMembership::update(const char *reason, const Change &change,
                               const std::function<void()> &done, RetryPolicy retryPolicy)
{
    this->update({reason, this->self.incarnation}, change, done, retryPolicy);
}

void RecordsMembership::update(const ChangeName &name, const Change &change,
                               const std::function<void()> &done, RetryPolicy retryPolicy)
{
    updateRecord(
            this->store, recordsViewKey,
            [this, change, name, guard = std::weak_ptr(this->lifetimeToken)](
                    const QByteArray &document) -> std::optional<QByteArray> {
                if (guard.expired())
                    return std::nullopt;
                const RecordsView view = storedView(document);
                if (view.number > 0)
                    this->adopt(document);
                std::optional<RecordsView> next = change(view);
                if (!next)
                    return std::nullopt;
                next->number = view.number + 1;
                LogEvent(LogSeverity::Info, "recordsViewChange")
                        .field("reason", name.first.c_str())
                        .field("number", static_cast<quint64>(next->number));
                return next->toDocument();
            },
            [this, name, change, done, retryPolicy, guard = std::weak_ptr(this->lifetimeToken)](
                    const std::optional<LacewingmuxError> &error) {
                if (guard.expired())
                    return;
                if (!error) {
                    if (done)
                        done();
                    return;
                }
                if (retryPolicy == RetryPolicy::Once)
                    return;
                this->retries[name] = this->timers.after(retryDelay, [this, name, change, done] {
                    this->update(name, change, done, RetryPolicy::UntilSuccess);
                });
            });
}

void RecordsMembership::adopt(const QByteArray &document)
{
    const std::optional<RecordsView> view = RecordsView::fromDocument(document);
    if (!view || view->number <= this->current.number)
        return;
    this->current = *view;
    this->viewChanged(this->current);
    this->scheduleSealing();
    // Another member may have removed this VM while it was silent.
    const bool missing = this->current.member(this->self.incarnation) == nullptr;
    if (this->joined && missing && !this->leaving)
        this->retries[{"join", this->self.incarnation}] =
                this->timers.after(retryDelay, [this] { this->join(); });
}

} // namespace lacewingmux
