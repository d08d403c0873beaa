#include "lacewingmux_records/members/RecordsMembership.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds retryDelay{400}; // a few round trips to a slow store

RecordsMember *memberIn(RecordsView &view, const VmIncarnation &incarnation)
{
    const auto found = std::find_if(
            view.members.begin(), view.members.end(),
            [&incarnation](const auto &member) { return member.vm.incarnation == incarnation; });
    return found == view.members.end() ? nullptr : &*found;
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
            [this] { this->joined = true; });
}

void RecordsMembership::declareSynced()
{
    this->update(
            "synced",
            [this](const RecordsView &view) -> std::optional<RecordsView> {
                RecordsView next = view;
                RecordsMember *member = memberIn(next, this->self.incarnation);
                if (member == nullptr || member->state != MemberState::Joining
                    || view.isStandby(*member))
                    return std::nullopt;
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
            "replaced",
            [silent](const RecordsView &view) { return withoutSilentMember(view, silent); },
            nullptr);
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

std::optional<RecordsView>
RecordsMembership::withStandbyPromoted(const RecordsView &view, const VmIncarnation &silent,
                                       const VmIncarnation &standbyIncarnation)
{
    const RecordsMember *lost = view.member(silent);
    const RecordsMember *standby = view.member(standbyIncarnation);
    if (lost == nullptr || lost->state != MemberState::Synced || standby == nullptr
        || !view.isStandby(*standby))
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
    // Includes the disk that this one replaces, which is one of the disks that may be lost.
    const int syncedBefore = view.syncedCount();
    std::erase_if(next.members, [&vm](const auto &member) {
        return member.vm.incarnation.vm == vm.incarnation.vm;
    });
    next.toleratedDisks = toleratedDisks;
    RecordsMember member;
    member.vm = vm;
    if (firstStart) {
        member.state = MemberState::Synced;
        next.targetSize = std::max(next.targetSize, static_cast<int>(next.members.size()) + 1);
    } else {
        member.syncSources = std::max(1, syncedBefore - toleratedDisks);
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
    const int others = view.syncedCount() - (member->state == MemberState::Synced ? 1 : 0);
    if (others < view.targetSize)
        return std::nullopt;
    RecordsView next = view;
    std::erase_if(next.members,
                  [&silent](const auto &entry) { return entry.vm.incarnation == silent; });
    return next;
}

void RecordsMembership::update(const char *reason, const Change &change,
                               const std::function<void()> &done, RetryPolicy retryPolicy)
{
    updateRecord(
            this->store, recordsViewKey,
            [this, change, reason, guard = std::weak_ptr(this->lifetimeToken)](
                    const QByteArray &document) -> std::optional<QByteArray> {
                if (guard.expired())
                    return std::nullopt;
                const RecordsView view =
                        RecordsView::fromDocument(document).value_or(RecordsView());
                if (view.number > 0)
                    this->adopt(document);
                std::optional<RecordsView> next = change(view);
                if (!next)
                    return std::nullopt;
                next->number = view.number + 1;
                LogEvent(LogSeverity::Info, "recordsViewChange")
                        .field("reason", reason)
                        .field("number", static_cast<quint64>(next->number));
                return next->toDocument();
            },
            [this, reason, change, done, retryPolicy, guard = std::weak_ptr(this->lifetimeToken)](
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
                this->retry = this->timers.after(retryDelay, [this, reason, change, done] {
                    this->update(reason, change, done);
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
    // Another member may have removed this VM while it was silent.
    const bool missing = this->current.member(this->self.incarnation) == nullptr;
    if (this->joined && missing && !this->leaving)
        this->retry = this->timers.after(retryDelay, [this] { this->join(); });
}

} // namespace lacewingmux
