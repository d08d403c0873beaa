#include "lacewingmux_node/front/StoreFollower.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_node/front/EvacuationFollower.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_relay/links/RelayContact.h"
#include "lacewingmux_relay/store/RelayedStore.h"

#include <QRandomGenerator>

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Time to connect to the relays after a start; many times what it takes if they run.
constexpr milliseconds relayStartTime{1000};
// Delay of the fallback, plus a random part: a relay that restarts is back in less, and the entry
// VMs of a zone should not all read the store at once.
constexpr milliseconds minimumFallbackDelay{300};
constexpr int fallbackJitter = 500; // milliseconds

milliseconds fallbackDelay()
{
    return minimumFallbackDelay + milliseconds(QRandomGenerator::global()->bounded(fallbackJitter));
}

} // namespace

StoreFollower::StoreFollower(TimerService &timerService, MetricsRecorder &metrics,
                             PlatformAdapter platformAdapter, Hooks followerHooks)
    : timers(timerService)
    , platform(std::move(platformAdapter))
    , replicasHook(std::move(followerHooks.replicas))
    , evacuatedZonesHook(std::move(followerHooks.evacuatedZones))
    , replicas(timerService, [this](const auto &) { this->publishReplicas(); })
    , store(std::make_unique<RelayedStore>(
              platform.createStore(timerService, metrics,
                                   [this](bool reachable) { this->handleStoreContact(reachable); }),
              timerService, RelayedStore::Source::Relays))
{
    this->store->setRelevance(this->platform.replicaPrefix, this->platform.replicaRelevance());
    // The view names the relays.
    this->store->setBootstrapPrefix(recordsViewKey);
    this->fallbackTimer = this->timers.after(relayStartTime, [this] { this->fallBackToStore(); });
    this->configurationWatch = this->store->watchValue(this->platform.configurationKey,
                                                       std::move(followerHooks.configuration));
    this->replicaWatch = this->store->watchPrefix(
            this->platform.replicaPrefix, 0,
            [this](const StoreRecord &record) { this->updateReplica(record); });
    this->viewWatch = this->store->watchValue(recordsViewKey, std::move(followerHooks.view));
    if (!this->platform.evacuationPrefix.isEmpty())
        this->followEvacuations(metrics);
}

StoreFollower::~StoreFollower() = default;

void StoreFollower::applyUpdate(const RelayUpdate &update)
{
    this->store->applyUpdate(update);
}

void StoreFollower::handleStoreContact(bool reachable)
{
    this->storeServes = reachable;
    // Only a watch that no relay serves uses the store then. The replicas come from the relays.
    if (this->servedByRelays)
        return;
    if (reachable)
        this->replicas.setStoreReachable(this->timers.now());
    else
        this->replicas.setStoreUnreachable();
}

void StoreFollower::handleRelayContact(const RelayContact &contact)
{
    if (this->evacuations)
        this->evacuations->handleRelayContact(contact, fallbackDelay());
    const bool served = contact.state == RelayState::Served;
    if (std::exchange(this->servedByRelays, served) != served)
        this->limitWithholding();
    if (contact.state == RelayState::Served) {
        this->fallbackTimer.cancel();
        this->usesStore = false;
        this->store->setSource(RelayedStore::Source::Relays);
        this->replicas.setStoreReachable(contact.storeReachableSince);
        return;
    }
    const bool lost = contact.state == RelayState::StoreLost;
    this->store->setProbePace(lost ? ProbePace::Relaxed : ProbePace::Quick);
    // The watches of the store know more than relays that have lost it.
    if (this->usesStore && (lost || this->storeServes))
        return;
    if (lost)
        this->replicas.setStoreUnreachable();
    this->fallbackTimer = this->timers.after(fallbackDelay(), [this] { this->fallBackToStore(); });
}

void StoreFollower::fallBackToStore()
{
    // Entries that lapsed during an outage of the store may be missing from what is read next.
    this->replicas.setStoreUnreachable();
    this->usesStore = true;
    this->store->assumeUnreachable();
    this->store->setSource(RelayedStore::Source::Store);
}

void StoreFollower::updateReplica(const StoreRecord &record)
{
    const QByteArray id = record.key.mid(this->platform.replicaPrefix.size());
    if (record.createRevision == 0)
        this->replicas.remove(id);
    else
        this->replicas.update(id, this->platform.readReplica(record.key, record.value));
}

void StoreFollower::publishReplicas()
{
    const bool isReady =
            !this->evacuations || this->evacuations->isKnown() || this->withholdingEnded;
    if (!isReady && !std::exchange(this->replicasWithheld, true))
        LogEvent(LogSeverity::Info, "replicasWithheld")
                .field("reason", "the evacuated zones are not known yet");
    if (isReady)
        this->replicasHook(this->replicas.instances());
}

void StoreFollower::followEvacuations(MetricsRecorder &metrics)
{
    this->evacuations = std::make_unique<EvacuationFollower>(
            *this->store, this->timers, metrics, this->platform.evacuationPrefix,
            [this](const std::set<QByteArray> &zones) {
                this->evacuatedZonesHook(zones);
                if (std::exchange(this->replicasWithheld, false))
                    this->publishReplicas();
            });
}

void StoreFollower::limitWithholding()
{
    if (!this->evacuations || this->evacuations->isKnown())
        return;
    // Relays of an earlier build serve everything but the evacuated zones, and the store may turn
    // this VM alone away. Calls that are refused without end cost more than some to such a zone.
    if (this->servedByRelays)
        this->withholdingTimer = this->timers.after(this->platform.evacuationLimit,
                                                    [this] { this->endWithholding(); });
    else
        this->withholdingTimer.cancel();
}

void StoreFollower::endWithholding()
{
    if (this->evacuations->isKnown())
        return;
    this->withholdingEnded = true;
    LogEvent(LogSeverity::Warning, "evacuationsUnknown")
            .field("reason", "the relays do not send the evacuated zones, and the store was not "
                             "reached; replicas of all zones are used");
    if (std::exchange(this->replicasWithheld, false))
        this->publishReplicas();
}

} // namespace lacewingmux
