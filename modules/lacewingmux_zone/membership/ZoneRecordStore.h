#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <QSet>
#include <QString>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace lacewingmux {

/**
    The zones' records and the list of VMs in the platform's store, as ZoneMembership uses them.

    It watches or polls the records, reads the platform's list with each change of a view, and
   changes the own zone's record by compare-and-swap. A write whose reply was lost is followed by a
   read and by nothing else: what the read shows is reported as any other record.
*/
class ZoneRecordStore
{
public:
    using RecordHandler = std::function<void(const ZoneRecord &record)>;
    using Decision = std::function<std::optional<ZoneRecord>(const ZoneRecord &current)>;

    ZoneRecordStore(PlatformStore &platformStore, TimerService &timerService, QString ownZone,
                    std::chrono::milliseconds readInterval);
    ~ZoneRecordStore();
    ZoneRecordStore(const ZoneRecordStore &) = delete;
    ZoneRecordStore &operator=(const ZoneRecordStore &) = delete;

    /** Sets the handler that is told each record read, newer or not. */
    void setRecordHandler(RecordHandler handler);

    /** Reads all zones' records now and then at the read interval. */
    void start();

    /** Watches the records, or stops to; without a watch they are only read at intervals. */
    void setWatching(bool watching);

    /**
        Reads the own zone's record and the platform's list, asks the decision for a next record,
       and writes that by compare-and-swap. Does nothing while an earlier change is under way.
    */
    void change(Decision decision);

    /** Reads all zones' records soon. */
    void readAll();

    /** Returns the VMs of whom the platform's list last said that they don't run any more. */
    [[nodiscard]] const QSet<QString> &goneVms() const noexcept
    {
        return this->gone;
    }

    /** Tells whether the last call to the store was answered. */
    [[nodiscard]] bool isReachable() const noexcept
    {
        return this->reachable;
    }

private:
    void onRecords(const std::optional<std::vector<StoreRecord>> &records);
    void onOwnRecord(const Decision &decision,
                     const std::optional<std::vector<StoreRecord>> &records);
    void onWritten(const ZoneRecord &written, const CompareAndSwapResult &result);
    void readList(std::function<void()> then);
    void report(const StoreRecord &record);

    PlatformStore &store;
    TimerService &timers;
    QString zone;
    std::chrono::milliseconds interval;
    RecordHandler recordHandler;
    std::unique_ptr<PlatformStore::Watch> watch;
    TimerSubscription poll;
    QSet<QString> gone;
    bool changing = false;
    bool reachable = false;
    std::int64_t newestRevision = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
