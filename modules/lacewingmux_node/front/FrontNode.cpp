#include "lacewingmux_node/front/FrontNode.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/ingress/ReadinessServer.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_node/front/FrontTrafficServices.h"
#include "lacewingmux_node/front/StoreFollower.h"
#include "lacewingmux_node/settings/MetricsServer.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_relay/links/RelayContact.h"
#include "lacewingmux_relay/messages/RelayUpdate.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <set>
#include <utility>

namespace lacewingmux {

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
        this->queue.post([this, update] { this->follower->applyUpdate(update); });
    };
    hooks.relayContact = [this](const RelayContact &contact) {
        this->queue.post([this, contact] { this->follower->handleRelayContact(contact); });
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
    this->follower.reset();
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
    StoreFollower::Hooks hooks;
    hooks.configuration = [this](const QByteArray &document) {
        this->applyConfiguration(document);
    };
    hooks.view = [this](const QByteArray &document) { this->applyView(document); };
    hooks.replicas = [this](const std::vector<ReplicaInstance> &instances) {
        this->replicasKnown = this->replicasKnown || !instances.empty();
        this->traffic->post(
                [instances](FrontTrafficServices &services) { services.setReplicas(instances); });
    };
    hooks.evacuatedZones = [this](const std::set<QByteArray> &zones) {
        this->traffic->post(
                [zones](FrontTrafficServices &services) { services.setEvacuatedZones(zones); });
    };
    this->follower = std::make_unique<StoreFollower>(this->timers, *this->metrics, this->platform,
                                                     std::move(hooks));
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

void FrontNode::applyView(const QByteArray &document)
{
    const std::optional<RecordsView> view = RecordsView::fromDocument(document);
    if (!view || view->number <= this->viewNumber)
        return;
    this->viewNumber = view->number;
    this->traffic->post([view = *view](FrontTrafficServices &services) { services.setView(view); });
}

bool FrontNode::isReady() const
{
    return !this->stopping && this->configurationVersion > 0 && this->replicasKnown
           && this->recordsReachable;
}

} // namespace lacewingmux
