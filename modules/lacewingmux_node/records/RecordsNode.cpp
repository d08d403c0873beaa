#include "lacewingmux_node/records/RecordsNode.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
#include "lacewingmux_node/records/DiskIdentity.h"
#include "lacewingmux_node/records/RecordsTrafficServices.h"
#include "lacewingmux_node/settings/MetricsServer.h"
#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds statusRetryDelay{500}; // a few round trips to a slow store

} // namespace

RecordsNode::RecordsNode(const NodeSettings &nodeSettings, PlatformAdapter platformAdapter)
    : settings(nodeSettings)
    , platform(std::move(platformAdapter))
    , metrics(std::make_unique<HistogramMetrics>())
{
    const DiskIdentity disk = loadOrCreateDiskIdentity(this->settings.dataFolder);
    this->diskWasEmpty = disk.isNew;
    this->self.incarnation = {this->settings.vm, QString::fromUtf8(this->settings.zone),
                              disk.number};
    this->self.address = this->settings.address.toString();
    this->self.trafficPort = this->settings.peerPort;
    this->self.hasDataFolder = true;
    this->startTraffic();
    if (this->settings.metricsPort != 0)
        this->metricsServer = std::make_unique<MetricsServer>(
                this->settings.address, this->settings.metricsPort, *this->metrics);
    this->connectStore();
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
        this->queue.post([this, message] { this->applyConfiguration(message.document); });
    };
    this->traffic = std::make_unique<ServiceThread<RecordsTrafficServices>>(
            QStringLiteral("traffic"), [this, hooks] {
                return std::make_unique<RecordsTrafficServices>(
                        this->settings, this->self.incarnation, *this->metrics, hooks);
            });
}

void RecordsNode::connectStore()
{
    this->store = this->platform.createStore(this->timers, *this->metrics, [](bool) {});
    const bool isFirstStart = this->diskWasEmpty && this->settings.firstStart;
    this->membership = std::make_unique<RecordsMembership>(
            *this->store, this->timers, this->self, this->settings.toleratedDisks, isFirstStart,
            [this](const RecordsView &view) {
                this->traffic->post(
                        [view](RecordsTrafficServices &services) { services.setView(view); });
            });
    this->membership->start();
    this->configurationWatch = this->store->watchValue(
            this->platform.configurationKey,
            [this](const QByteArray &document) { this->applyConfiguration(document); });
    this->retirementWatch = this->store->watchValue(
            this->platform.retirementKey, [this](const QByteArray &) { this->beginRetirement(); });
}

void RecordsNode::applyConfiguration(const QByteArray &document)
{
    const std::shared_ptr<const RoutingTable> table = this->platform.readConfiguration(document);
    if (!table || table->version() <= this->configurationVersion)
        return;
    this->configurationVersion = table->version();
    this->traffic->post(
            [message = ConfigurationDocumentMessage{table->version(), document}](
                    RecordsTrafficServices &services) { services.setConfiguration(message); });
}

void RecordsNode::beginRetirement()
{
    if (std::exchange(this->retiring, true))
        return;
    LogEvent(LogSeverity::Info, "retirementBegins").field("vm", this->settings.vm);
    this->writeRetirementStatus(this->platform.retirementRunning);
    this->membership->beginLeaving();
}

void RecordsNode::finishRetirement()
{
    if (!this->retiring)
        return;
    this->membership->leave([this] {
        LogEvent(LogSeverity::Info, "retirementDone").field("vm", this->settings.vm);
        this->writeRetirementStatus(this->platform.retirementDone);
    });
}

void RecordsNode::writeRetirementStatus(const QByteArray &document)
{
    updateRecord(
            *this->store, this->platform.retirementStatusKey,
            [document, done = this->platform.retirementDone](
                    const QByteArray &current) -> std::optional<QByteArray> {
                if (current == document || current == done)
                    return std::nullopt;
                return document;
            },
            [this, document](const std::optional<LacewingmuxError> &error) {
                if (!error)
                    return;
                this->statusRetryTimer = this->timers.after(statusRetryDelay, [this, document] {
                    this->writeRetirementStatus(document);
                });
            });
}

} // namespace lacewingmux
