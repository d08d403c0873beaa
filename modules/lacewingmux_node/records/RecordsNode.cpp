#include "lacewingmux_node/records/RecordsNode.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
#include "lacewingmux_node/records/DiskIdentity.h"
#include "lacewingmux_node/records/RecordsTraffic.h"
#include "lacewingmux_node/settings/MetricsServer.h"
#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds retryPause{500}; // a few round trips to a slow store

} // namespace

RecordsNode::RecordsNode(const NodeSettings &nodeSettings, NodeSeams nodeSeams)
    : settings(nodeSettings)
    , seams(std::move(nodeSeams))
    , metrics(std::make_unique<HistogramMetrics>())
{
    const DiskIdentity disk = identifyDisk(this->settings.dataFolder);
    this->emptyDisk = disk.isNew;
    this->self.incarnation = {this->settings.vm, QString::fromUtf8(this->settings.zone),
                              disk.number};
    this->self.address = this->settings.address.toString();
    this->self.trafficPort = this->settings.peerPort;
    this->self.hasDataFolder = true;
    this->startTraffic();
    if (this->settings.metricsPort != 0)
        this->metricsServer = std::make_unique<MetricsServer>(
                this->settings.address, this->settings.metricsPort, *this->metrics);
    this->followStore();
}

RecordsNode::~RecordsNode()
{
    this->configurationWatch.reset();
    this->retirementWatch.reset();
    this->membership.reset();
    this->traffic.reset();
}

void RecordsNode::startTraffic()
{
    RecordsServerHooks hooks;
    hooks.synced = [this] { this->queue.post([this] { this->membership->declareSynced(); }); };
    hooks.copied = [this] { this->queue.post([this] { this->finishRetirement(); }); };
    hooks.memberSilent = [this](const VmIncarnation &member) {
        this->queue.post([this, member] {
            if (RecordsMembership::withoutSilentMember(this->membership->view(), member))
                this->membership->removeSilentMember(member);
        });
    };
    hooks.standbyCanReplace = [this](const VmIncarnation &member) {
        this->queue.post([this, member] { this->membership->replaceAsStandby(member); });
    };
    hooks.newerView = [this](const QByteArray &document) {
        this->queue.post([this, document] { this->membership->adoptViewDocument(document); });
    };
    hooks.newerConfiguration = [this](const ConfigurationDocumentMessage &message) {
        this->queue.post([this, message] { this->takeConfiguration(message.document); });
    };
    this->traffic = std::make_unique<ServiceThread<RecordsTraffic>>(
            QStringLiteral("traffic"), [this, hooks] {
                return std::make_unique<RecordsTraffic>(this->settings, this->self.incarnation,
                                                        *this->metrics, hooks);
            });
}

void RecordsNode::followStore()
{
    this->store = this->seams.makeStore(this->timers, *this->metrics, [](bool) {});
    const bool bootstraps = this->emptyDisk && this->settings.firstStart;
    this->membership = std::make_unique<RecordsMembership>(
            *this->store, this->timers, this->self, this->settings.toleratedDisks, bootstraps,
            [this](const RecordsView &view) {
                this->traffic->post([view](RecordsTraffic &services) { services.setView(view); });
            });
    this->membership->start();
    this->configurationWatch = this->store->watchValue(
            this->seams.configurationKey,
            [this](const QByteArray &document) { this->takeConfiguration(document); });
    this->retirementWatch = this->store->watchValue(
            this->seams.retirementKey, [this](const QByteArray &) { this->beginRetirement(); });
}

void RecordsNode::takeConfiguration(const QByteArray &document)
{
    const std::shared_ptr<const RoutingTable> table = this->seams.readConfiguration(document);
    if (!table || table->version() <= this->configurationVersion)
        return;
    this->configurationVersion = table->version();
    this->traffic->post([message = ConfigurationDocumentMessage{table->version(), document}](
                                RecordsTraffic &services) { services.setConfiguration(message); });
}

void RecordsNode::beginRetirement()
{
    if (std::exchange(this->retiring, true))
        return;
    LogEvent(LogSeverity::Info, "retirementBegins").field("vm", this->settings.vm);
    this->writeRetirementStatus(this->seams.retirementRunning);
    this->membership->beginLeaving();
}

void RecordsNode::finishRetirement()
{
    if (!this->retiring)
        return;
    this->membership->leave([this] {
        LogEvent(LogSeverity::Info, "retirementDone").field("vm", this->settings.vm);
        this->writeRetirementStatus(this->seams.retirementDone);
    });
}

void RecordsNode::writeRetirementStatus(const QByteArray &document)
{
    updateRecord(
            *this->store, this->seams.retirementStatusKey,
            [document, done = this->seams.retirementDone](
                    const QByteArray &current) -> std::optional<QByteArray> {
                if (current == document || current == done)
                    return std::nullopt;
                return document;
            },
            [this, document](const std::optional<LacewingmuxError> &error) {
                if (!error)
                    return;
                this->retry = this->timers.after(
                        retryPause, [this, document] { this->writeRetirementStatus(document); });
            });
}

} // namespace lacewingmux
