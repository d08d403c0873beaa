#pragma once

#include "lacewingmux_config/records/RecordEditResult.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

class PlatformStore;
struct CompareAndSwapResult;
struct StoreRecord;

/**
    Changes one record of the platform's store by read and compare-and-swap, one edit at a time.

    A write whose reply was lost is settled by sending the very same compare-and-swap again: at
    most one of the two can take effect, and a conflict shows the record, whose history tells
    whether the first one did.
*/
class RecordEditor
{
public:
    /** Makes the new document from the present one; throws LacewingmuxError to give up. */
    using Edit = std::function<QJsonObject(const RevisionedRecord &current)>;
    using Callback = std::function<void(const RecordEditResult &)>;

    /** The largest value that is written; the store holds up to a megabyte. */
    static constexpr qsizetype valueLimitBytes = 1'000'000;

    /** How long a lost reply is looked into before the outcome is called unknown. */
    static constexpr std::chrono::milliseconds settleTimeout{10'000};

    /** The author's name goes into each record that this editor writes. */
    RecordEditor(PlatformStore &platformStore, TimerService &timerService, QByteArray recordKey,
                 QString authorName);
    RecordEditor(const RecordEditor &) = delete;
    RecordEditor &operator=(const RecordEditor &) = delete;

    /** Reads the record; calls back with Applied, or Unavailable. */
    void read(Callback callback);

    /** Replaces the document if its revision is still the expected one; 0 means no record yet. */
    void replace(std::uint64_t expectedRevision, const QJsonObject &document, Callback callback);

    /** Applies the edit to whatever the record is, again on each conflict. */
    void edit(Edit change, Callback callback);

private:
    struct Task;

    void begin(const std::shared_ptr<Task> &task);
    void handleRead(const std::shared_ptr<Task> &task,
                    const std::optional<std::vector<StoreRecord>> &records);
    void prepare(const std::shared_ptr<Task> &task);
    void write(const std::shared_ptr<Task> &task);
    void handleWrite(const std::shared_ptr<Task> &task, const CompareAndSwapResult &result);
    void handleConflict(const std::shared_ptr<Task> &task, const CompareAndSwapResult &result);
    void settle(const std::shared_ptr<Task> &task);
    void end(const std::shared_ptr<Task> &task, RecordEditOutcome outcome);

    PlatformStore &store;
    TimerService &timers;
    QByteArray key;
    QString author;
    TimerSubscription settleTimer;
    std::shared_ptr<bool> alive; ///< expires with this object
};

} // namespace lacewingmux
