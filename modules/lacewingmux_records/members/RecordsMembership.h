#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lacewingmux {

/**
    Maintains the entry of one records VM in the view in the platform's store: joins a group,
   declares itself synced, and leaves on request.

    Every change is a compare-and-swap that is recomputed from the stored view, so a write that is
    delayed or whose reply is lost does no harm.
*/
class RecordsMembership
{
public:
    using ViewHook = std::function<void(const RecordsView &)>;

    /** On the first start of the whole system all disks are empty, so every member is synced. */
    RecordsMembership(PlatformStore &platformStore, TimerService &timerService,
                      const VmDescriptor &ownVm, int toleratedDisks, bool firstStart,
                      ViewHook viewHook);

    /** Starts watching the view and joins it. */
    void start();

    /** Adopts a newer view that was received from a peer instead of the store. */
    void adoptViewDocument(const QByteArray &document);

    /** Declares that this VM has every acknowledged record, also if it is leaving. */
    void declareSynced();

    /** Starts to leave: copies on this VM no longer count. */
    void beginLeaving();

    /** Returns whether this VM is being retired. */
    [[nodiscard]] bool isLeaving() const noexcept
    {
        return this->leaving;
    }

    /** Removes this VM from the view; calls back once the change is in the store. */
    void leave(const std::function<void()> &left);

    /** Returns the newest known view. */
    [[nodiscard]] const RecordsView &view() const noexcept
    {
        return this->current;
    }

    /** Returns the view with the VM added or updated; nothing if no change is needed. */
    [[nodiscard]] static std::optional<RecordsView> withJoined(const RecordsView &view,
                                                               const VmDescriptor &vm,
                                                               bool firstStart, int toleratedDisks);

    /** Returns the view without a silent member that has been replaced; nothing if the member is
        still needed. */
    [[nodiscard]] static std::optional<RecordsView>
    withoutSilentMember(const RecordsView &view, const VmIncarnation &silent);

    /** Removes a member that has been silent for long, if another one has replaced it. */
    void removeSilentMember(const VmIncarnation &silent);

    /** Returns the view in which a standby replaces a silent synced member; nothing if the standby
        is no longer one, or the silent member is not synced. */
    [[nodiscard]] static std::optional<RecordsView>
    withStandbyPromoted(const RecordsView &view, const VmIncarnation &silent,
                        const VmIncarnation &standbyIncarnation);

    /** Moves a standby of another group to the group of a silent member, if that has none. Not
       retried if the store is unreachable. */
    void requestStandby(const VmIncarnation &silent);

    /** Returns the view without a silent member, whose place a joining member of its group takes
        before it has copied all records; nothing if the group has no joining member, or if this is
        no longer the view, by its number, on which that was decided. */
    [[nodiscard]] static std::optional<RecordsView> withPlaceFreed(const RecordsView &view,
                                                                   const VmIncarnation &silent,
                                                                   std::uint64_t decidedNumber);

    /** Gives the place of a silent member to a joining one, as decided on the view with the number.
        Not retried if the store is unreachable: by then this VM may be the one that is
        partitioned. */
    void freePlace(const VmIncarnation &silent, std::uint64_t decidedNumber);

    /** Returns the view in which nothing depends on the lost disks of the group any more, and which
        does not have its silent leaving members; nothing if there are neither, or if this is no
        longer the view, by its number, on which that was decided. */
    [[nodiscard]] static std::optional<RecordsView>
    withPredecessorsCopied(const RecordsView &view, int group,
                           const std::set<VmIncarnation> &silentLeaving,
                           std::uint64_t decidedNumber);

    /** Notes that all members of the own group that have all records have those of its lost disks
        and silent leaving members too, as decided on the view with the number. Not retried if the
        store is unreachable. */
    void notePredecessorsCopied(const std::set<VmIncarnation> &silentLeaving,
                                std::uint64_t decidedNumber);

    /** Returns the view in which a silent member is a leaving one; nothing if it is one already, or
       if this is no longer the view, by its number, on which that was decided. */
    [[nodiscard]] static std::optional<RecordsView>
    withSilentMemberLeaving(const RecordsView &view, const VmIncarnation &silent,
                            std::uint64_t decidedNumber);

    /** Makes a silent member a leaving one, as decided on the view with the number. It is removed
        once the others have copied each other under the new view, and joins again when it returns.
        Not retried if the store is unreachable. */
    void letSilentMemberLeave(const VmIncarnation &silent, std::uint64_t decidedNumber);

    /** Returns the next view, without a VM that the operator declares lost for good, and whose
       place a joining member takes; nothing if the view has no such VM. Records that only this VM
       has are lost then. Throws ConfigurationConflict if the group has no other synced member, or
       no joining one. */
    [[nodiscard]] static std::optional<RecordsView> withoutLostVm(const RecordsView &view,
                                                                  const QString &vm);

    /** Returns the view whose groups do not change any more; nothing if they are fixed already. */
    [[nodiscard]] static std::optional<RecordsView> withSealedGroups(const RecordsView &view);

    /** Replaces a silent member with this VM, a standby. Not retried if the store is unreachable:
        by then this VM may be the one that is partitioned. */
    void replaceAsStandby(const VmIncarnation &silent);

private:
    using Change = std::function<std::optional<RecordsView>(const RecordsView &)>;

    enum class RetryPolicy : std::uint8_t { Once, UntilSuccess };

    /** Identifies a change for its retry: the reason, and the member that it concerns. */
    using ChangeName = std::pair<std::string, VmIncarnation>;

    void update(const char *reason, const Change &change, const std::function<void()> &done,
                RetryPolicy retryPolicy = RetryPolicy::UntilSuccess);
    void update(const ChangeName &name, const Change &change, const std::function<void()> &done,
                RetryPolicy retryPolicy);
    void adopt(const QByteArray &document);
    void join();
    /** Fixes the groups once no further member has joined for a while. */
    void scheduleSealing();

    PlatformStore &store;
    TimerService &timers;
    VmDescriptor self;
    int toleratedDiskCount;
    bool isFirstStart;
    ViewHook viewChanged;
    RecordsView current;
    bool joined = false;
    bool leaving = false;
    std::unique_ptr<PlatformStore::Watch> watch;
    std::map<ChangeName, TimerSubscription> retries; ///< of changes that failed
    TimerSubscription sealTimer;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
