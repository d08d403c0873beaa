#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

/**
    A records VM's part in the view that all of them agree on through the platform's store: it
    joins, says when it is synced, and leaves when it is told to.

    Every change is a compare-and-swap that is worked out anew against what the store holds, so a
    write whose reply was lost, or that comes late, does no harm.
*/
class RecordsMembership
{
public:
    using ViewHook = std::function<void(const RecordsView &)>;

    /** The first start of the whole system finds empty disks, so everyone is synced. */
    RecordsMembership(PlatformStore &platformStore, TimerService &timerService,
                      const VmDescriptor &ownVm, int toleratedDisks, bool firstStart,
                      ViewHook viewHook);

    /** Starts to watch the view and joins it. */
    void start();

    /** Takes a view that came another way than through the store. */
    void adoptViewDocument(const QByteArray &document);

    /** Says that this VM has everything that was acknowledged. */
    void declareSynced();

    /** Leaves: first nothing counts that this VM stores. */
    void beginLeaving();

    /** Takes this VM out of the view; calls back once the store has it. */
    void leave(const std::function<void()> &left);

    /** Returns the newest view that is known. */
    [[nodiscard]] const RecordsView &view() const noexcept
    {
        return this->current;
    }

    /** Returns the view with the VM in it, or nothing when it already is as it should be. */
    [[nodiscard]] static std::optional<RecordsView> withJoined(const RecordsView &view,
                                                               const VmDescriptor &vm,
                                                               bool firstStart, int toleratedDisks);

    /** Returns the view without a member that is silent for good and has been replaced; nothing
        when all are needed. */
    [[nodiscard]] static std::optional<RecordsView>
    withoutSilentMember(const RecordsView &view, const VmIncarnation &silent);

    /** Takes out a member that has been silent for long, if another one has taken its place. */
    void removeSilentMember(const VmIncarnation &silent);

    /** Returns the view in which a member that stands by has the place of a silent one; nothing
        when it stands by no more. */
    [[nodiscard]] static std::optional<RecordsView> withStandbyPromoted(const RecordsView &view,
                                                                        const VmIncarnation &silent,
                                                                        const VmIncarnation &spare);

    /** Takes the place of a silent member. Not repeated when the store can't be reached: by then
        this VM may be the one that is cut off. */
    void replaceAsStandby(const VmIncarnation &silent);

private:
    using Change = std::function<std::optional<RecordsView>(const RecordsView &)>;

    enum class Persistence : std::uint8_t { Once, UntilDone };

    void update(const char *reason, const Change &change, const std::function<void()> &done,
                Persistence persistence = Persistence::UntilDone);
    void adopt(const QByteArray &document);
    void join();

    PlatformStore &store;
    TimerService &timers;
    VmDescriptor self;
    int tolerated;
    bool isFirstStart;
    ViewHook viewChanged;
    RecordsView current;
    bool joined = false;
    bool leaving = false;
    std::unique_ptr<PlatformStore::Watch> watch;
    TimerSubscription retry;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux
