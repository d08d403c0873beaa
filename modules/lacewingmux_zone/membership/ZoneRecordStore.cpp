#include "lacewingmux_zone/membership/ZoneRecordStore.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

const QByteArray platformListPrefix = QByteArrayLiteral("platform/vms/");

QSet<QString> parseGoneVms(const std::vector<StoreRecord> &list)
{
    QSet<QString> gone;
    for (const StoreRecord &record : list) {
        const QJsonObject vm = QJsonDocument::fromJson(record.value).object();
        if (vm.value(QStringLiteral("state")).toString() == QLatin1String("gone"))
            gone.insert(vm.value(QStringLiteral("vm")).toString());
    }
    return gone;
}

/** Returns the zone's record in the store's record, or nothing if it can't be read. */
std::optional<ZoneRecord> readZoneRecord(const StoreRecord &record)
{
    try {
        return ZoneRecord::fromJson(record.value);
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "zoneRecordUnreadable")
                .field("storeKey", QString::fromUtf8(record.key))
                .field("reason", error.message());
        return std::nullopt;
    }
}

} // namespace

ZoneRecordStore::ZoneRecordStore(PlatformStore &platformStore, TimerService &timerService,
                                 QString ownZone, std::chrono::milliseconds readInterval)
    : store(platformStore)
    , timers(timerService)
    , zone(std::move(ownZone))
    , interval(readInterval)
{ }

ZoneRecordStore::~ZoneRecordStore()
{
    *this->alive = false;
}

void ZoneRecordStore::setRecordHandler(RecordHandler handler)
{
    this->recordHandler = std::move(handler);
}

void ZoneRecordStore::start()
{
    this->readAll();
    this->poll = this->timers.every(this->interval, [this] {
        if (!this->watch)
            this->readAll();
    });
}

void ZoneRecordStore::setWatching(bool watching)
{
    if (watching == (this->watch != nullptr))
        return;
    if (!watching) {
        this->watch.reset();
        return;
    }
    this->watch =
            this->store.watchPrefix(ZoneRecord::storePrefix, this->newestRevision,
                                    [this](const StoreRecord &record) { this->report(record); });
}

void ZoneRecordStore::readAll()
{
    this->store.readPrefix(ZoneRecord::storePrefix,
                           [this, guard = this->alive](const auto &records) {
                               if (*guard)
                                   this->onRecords(records);
                           });
}

void ZoneRecordStore::update(Decision decision)
{
    if (this->updateInProgress)
        return;
    this->updateInProgress = true;
    this->readPlatformList([this, decision = std::move(decision)] {
        this->store.read(ZoneRecord::storeKey(this->zone),
                         [this, decision, guard = this->alive](const auto &records) {
                             if (*guard)
                                 this->onOwnRecord(decision, records);
                         });
    });
}

void ZoneRecordStore::onRecords(const std::optional<std::vector<StoreRecord>> &records)
{
    this->reachable = records.has_value();
    if (!records)
        return;
    for (const StoreRecord &record : *records)
        this->report(record);
}

void ZoneRecordStore::onOwnRecord(const Decision &decision,
                                  const std::optional<std::vector<StoreRecord>> &records)
{
    this->reachable = records.has_value();
    if (!records) {
        this->updateInProgress = false;
        return;
    }
    ZoneRecord current;
    std::int64_t revision = 0;
    if (!records->empty()) {
        revision = records->front().modRevision;
        const auto stored = readZoneRecord(records->front());
        if (!stored) {
            this->updateInProgress = false;
            return;
        }
        current = *stored;
        this->report(records->front());
    }
    const std::optional<ZoneRecord> next = decision(current);
    if (!next) {
        this->updateInProgress = false;
        return;
    }
    this->store.compareAndSwap(
            ZoneRecord::storeKey(this->zone), revision, next->toJson(),
            [this, next = *next, guard = this->alive](const CompareAndSwapResult &result) {
                if (*guard)
                    this->onWritten(next, result);
            });
}

void ZoneRecordStore::onWritten(const ZoneRecord &written, const CompareAndSwapResult &result)
{
    this->updateInProgress = false;
    this->reachable = result.outcome != CompareAndSwapOutcome::NotSent;
    if (result.outcome == CompareAndSwapOutcome::Applied && this->recordHandler)
        this->recordHandler(written);
    else if (result.outcome != CompareAndSwapOutcome::NotSent)
        this->readAll();
}

void ZoneRecordStore::readPlatformList(std::function<void()> then)
{
    this->store.readPrefix(platformListPrefix,
                           [this, then = std::move(then), guard = this->alive](const auto &list) {
                               if (!*guard)
                                   return;
                               if (list)
                                   this->gone = parseGoneVms(*list);
                               then();
                           });
}

void ZoneRecordStore::report(const StoreRecord &record)
{
    this->newestRevision = std::max(this->newestRevision, record.modRevision);
    if (record.value.isEmpty() || !this->recordHandler)
        return;
    if (const auto zoneRecord = readZoneRecord(record))
        this->recordHandler(*zoneRecord);
}

} // namespace lacewingmux
