#include "lacewingmux_node/front/EvacuationFollower.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_relay/links/RelayContact.h"
#include "lacewingmux_relay/store/RelayedStore.h"

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// An empty prefix is reported by no record, so its first read is detected by asking.
constexpr milliseconds firstReadCheckInterval{20};

} // namespace

EvacuationFollower::EvacuationFollower(RelayedStore &relayedStore, TimerService &timerService,
                                       MetricsRecorder &metricsRecorder, const QByteArray &prefix,
                                       ChangeHook changeHook)
    : store(relayedStore)
    , timers(timerService)
    , metrics(metricsRecorder)
    , keyPrefix(prefix)
    , changed(std::move(changeHook))
    , watch(relayedStore.watchPrefix(prefix, 0,
                                     [this](const StoreRecord &record) { this->update(record); }))
{
    this->firstReadTimer =
            this->timers.every(firstReadCheckInterval, [this] { this->schedulePublish(); });
}

void EvacuationFollower::handleRelayContact(const RelayContact &contact, milliseconds fallbackDelay)
{
    if (contact.state != RelayState::Served)
        return; // the source of all watches changes
    const bool wasRelayed =
            std::exchange(this->isRelayed, contact.servedPrefixes.contains(this->keyPrefix));
    if (wasRelayed == this->isRelayed)
        return;
    LogEvent(LogSeverity::Info, "evacuationsRelayed").field("relayed", this->isRelayed);
    if (this->isRelayed) {
        this->fallbackTimer.cancel();
        this->store.setUsesStore(this->keyPrefix, false);
        return;
    }
    const milliseconds delay = this->known ? fallbackDelay : milliseconds(0);
    this->fallbackTimer =
            this->timers.after(delay, [this] { this->store.setUsesStore(this->keyPrefix, true); });
}

void EvacuationFollower::update(const StoreRecord &record)
{
    const QByteArray zone = record.key.mid(this->keyPrefix.size());
    if (zone.isEmpty()) {
        LogEvent(LogSeverity::Warning, "evacuationWithoutZone")
                .field("key", QString::fromUtf8(record.key))
                .field("revision", static_cast<qint64>(record.modRevision));
        return;
    }
    const bool evacuated = record.createRevision != 0;
    const bool isChange = evacuated ? this->zones.insert(zone).second : this->zones.erase(zone) > 0;
    if (!isChange)
        return;
    this->reportZone(zone, record.modRevision);
    this->schedulePublish();
}

void EvacuationFollower::reportZone(const QByteArray &zone, std::int64_t revision) const
{
    const bool evacuated = this->zones.contains(zone);
    LogEvent(LogSeverity::Info, evacuated ? "zoneEvacuated" : "zoneReturned")
            .field("zone", QString::fromUtf8(zone))
            .field("revision", static_cast<qint64>(revision));
    const std::vector<MetricLabel> labels{{QStringLiteral("zone"), QString::fromUtf8(zone)}};
    this->metrics.set("lacewingmux_zone_evacuated", labels, evacuated ? 1.0 : 0.0);
    this->metrics.set("lacewingmux_zone_evacuation_revision", labels,
                      static_cast<double>(revision));
}

void EvacuationFollower::schedulePublish()
{
    // The records that one answer of a source holds are applied one after the other.
    if (std::exchange(this->publishPosted, true))
        return;
    this->timers.post([this, guard = std::weak_ptr(this->lifetimeToken)] {
        if (!guard.expired())
            this->publish();
    });
}

void EvacuationFollower::publish()
{
    this->publishPosted = false;
    if (!this->known && !this->store.isKnown(this->keyPrefix))
        return;
    this->known = true;
    this->firstReadTimer.cancel();
    this->changed(this->zones);
}

} // namespace lacewingmux
