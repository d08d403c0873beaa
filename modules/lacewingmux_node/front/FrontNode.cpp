#include "lacewingmux_node/front/FrontNode.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/ingress/ReadinessServer.h"
#include "lacewingmux_gateway/replicas/ReplicaDirectory.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_node/front/FrontTrafficServices.h"
#include "lacewingmux_node/settings/MetricsServer.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_relay/links/RelayState.h"
#include "lacewingmux_relay/store/RelayedStore.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

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

} // namespace

FrontNode::FrontNode(const NodeSettings &nodeSettings, PlatformAdapter platformAdapter,
                     std::function<void()> stoppedHook)
    : settings(nodeSettings)
    , platform(std::move(platformAdapter))
    , stopped(std::move(stoppedHook))
    , metrics(std::make_unique<HistogramMetrics>())
{
    FrontTrafficServices::Hooks hooks;
    hooks.newerView = [this](const QByteArray &document) {
        this->queue.post([this, document] { this->applyView(document); });
    };
    hooks.newerConfiguration = [this](const ConfigurationDocumentMessage &message) {
        this->queue.post([this, message] { this->applyConfiguration(message.document); });
    };
    hooks.recordsReachable = [this](bool reachable) {
        this->queue.post([this, reachable] {
            this->recordsReachable = reachable;
            LogEvent(reachable ? LogSeverity::Info : LogSeverity::Warning, "recordsQuorum")
                    .field("reachable", reachable)
                    .field("view", static_cast<quint64>(this->viewNumber));
        });
    };
    hooks.relayUpdate = [this](const RelayUpdate &update) {
        this->queue.post([this, update] { this->store->applyUpdate(update); });
    };
    hooks.relayState = [this](RelayState state) {
        this->queue.post([this, state] { this->handleRelayState(state); });
    };
    hooks.drained = [this] { this->queue.post([this] { this->stopped(); }); };
    this->traffic = std::make_unique<ServiceThread<FrontTrafficServices>>(
            QStringLiteral("traffic"), [this, hooks] {
                return std::make_unique<FrontTrafficServices>(
                        this->settings, this->platform.dialect, *this->metrics, hooks);
            });
    this->readiness =
            std::make_unique<ReadinessServer>(this->settings.address, this->settings.readinessPort,
                                              [this] { return this->isReady(); });
    if (this->settings.metricsPort != 0)
        this->metricsServer = std::make_unique<MetricsServer>(
                this->settings.address, this->settings.metricsPort, *this->metrics);
    this->connectStore();
}

FrontNode::~FrontNode()
{
    this->configurationWatch.reset();
    this->replicaWatch.reset();
    this->viewWatch.reset();
    this->traffic.reset();
}

void FrontNode::beginStop()
{
    if (std::exchange(this->stopping, true))
        return;
    LogEvent(LogSeverity::Info, "stopBegins").field("vm", this->settings.vm);
    this->traffic->post([](FrontTrafficServices &services) { services.beginStop(); });
}

void FrontNode::connectStore()
{
    this->replicas = std::make_unique<ReplicaDirectory>(
            this->timers, [this](const std::vector<ReplicaInstance> &instances) {
                this->replicasKnown = this->replicasKnown || !instances.empty();
                this->traffic->post([instances](FrontTrafficServices &services) {
                    services.setReplicas(instances);
                });
            });
    this->store = std::make_unique<RelayedStore>(
            this->platform.createStore(
                    this->timers, *this->metrics,
                    [this](bool reachable) { this->replicas->setStoreReachable(reachable); }),
            this->timers, RelayedStore::Source::Relays);
    this->store->setRelevance(this->platform.replicaPrefix, this->platform.replicaRelevance());
    // The view names the relays.
    this->store->setBootstrapPrefix(recordsViewKey);
    this->fallbackTimer = this->timers.after(relayStartTime, [this] { this->fallBackToStore(); });
    this->configurationWatch = this->store->watchValue(
            this->platform.configurationKey,
            [this](const QByteArray &document) { this->applyConfiguration(document); });
    this->replicaWatch = this->store->watchPrefix(
            this->platform.replicaPrefix, 0,
            [this](const StoreRecord &record) { this->updateReplica(record); });
    this->viewWatch = this->store->watchValue(
            recordsViewKey, [this](const QByteArray &document) { this->applyView(document); });
}

void FrontNode::applyConfiguration(const QByteArray &document)
{
    const std::shared_ptr<const RoutingTable> table = this->platform.readConfiguration(document);
    if (!table || table->version() <= this->configurationVersion)
        return;
    LogEvent(LogSeverity::Info, "configurationInForce")
            .field("version", static_cast<quint64>(table->version()))
            .field("before", static_cast<quint64>(this->configurationVersion));
    this->configurationVersion = table->version();
    const ConfigurationDocumentMessage message{table->version(), document};
    this->traffic->post([table, message](FrontTrafficServices &services) {
        services.setConfiguration(table, message);
    });
}

void FrontNode::updateReplica(const StoreRecord &record)
{
    const QByteArray id = record.key.mid(this->platform.replicaPrefix.size());
    if (record.createRevision == 0)
        this->replicas->remove(id);
    else
        this->replicas->update(id, this->platform.readReplica(record.key, record.value));
}

void FrontNode::applyView(const QByteArray &document)
{
    const std::optional<RecordsView> view = RecordsView::fromDocument(document);
    if (!view || view->number <= this->viewNumber)
        return;
    this->viewNumber = view->number;
    this->traffic->post([view = *view](FrontTrafficServices &services) { services.setView(view); });
}

void FrontNode::handleRelayState(RelayState state)
{
    if (state == RelayState::Served) {
        this->fallbackTimer.cancel();
        this->store->setSource(RelayedStore::Source::Relays);
        this->replicas->setStoreReachable(true);
        return;
    }
    if (state == RelayState::StoreLost)
        this->replicas->setStoreReachable(false);
    const milliseconds delay = minimumFallbackDelay
                               + milliseconds(QRandomGenerator::global()->bounded(fallbackJitter));
    this->fallbackTimer = this->timers.after(delay, [this] { this->fallBackToStore(); });
}

void FrontNode::fallBackToStore()
{
    // Entries that lapsed during an outage of the store may be missing from what is read next.
    this->replicas->setStoreReachable(false);
    this->store->assumeUnreachable();
    this->store->setSource(RelayedStore::Source::Store);
}

bool FrontNode::isReady() const
{
    return !this->stopping && this->configurationVersion > 0 && this->replicasKnown
           && this->recordsReachable;
}

} // namespace lacewingmux
