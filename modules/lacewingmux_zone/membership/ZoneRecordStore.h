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
    Accesses the zones' records and the list of VMs in the platform's store for ZoneMembership.

    It watches or polls the records, reads the platform's list of VMs with each view change, and
    changes this zone's record by compare-and-swap. A write whose reply was lost is not retried; it
    is only followed by a read, whose result is reported like any other record.
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

    /** Sets the handler called with each record read, newer or not. */
    void setRecordHandler(RecordHandler handler);

    /** Reads all zones' records now and again at each read interval. */
    void start();

    /** Starts or stops watching the records; without a watch they are only polled. */
    void setWatching(bool watching);

    /**
        Reads this zone's record and the platform's list of VMs, calls the decision for the next
        record, and writes it by compare-and-swap. Does nothing while an update is in progress, or
        if the record can't be read.
    */
    void update(Decision decision);

    /** Starts a read of all zones' records. */
    void readAll();

    /** Returns the VMs that the platform's list last read shows as no longer running. */
    [[nodiscard]] const QSet<QString> &goneVms() const noexcept
    {
        return this->gone;
    }

    /** Returns whether the store answered the last call. */
    [[nodiscard]] bool isReachable() const noexcept
    {
        return this->reachable;
    }

private:
    void onRecords(const std::optional<std::vector<StoreRecord>> &records);
    void onOwnRecord(const Decision &decision,
                     const std::optional<std::vector<StoreRecord>> &records);
    void onWritten(const ZoneRecord &written, const CompareAndSwapResult &result);
    void readPlatformList(std::function<void()> then);
    void report(const StoreRecord &record);

    PlatformStore &store;
    TimerService &timers;
    QString zone;
    std::chrono::milliseconds interval;
    RecordHandler recordHandler;
    std::unique_ptr<PlatformStore::Watch> watch;
    TimerSubscription poll;
    QSet<QString> gone;
    bool updateInProgress = false;
    bool reachable = false;
    std::int64_t newestRevision = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
