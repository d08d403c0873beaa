#include "lacewingmux_node/records/RecordsNode.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
#include "lacewingmux_node/records/DiskIdentity.h"
#include "lacewingmux_node/settings/MetricsServer.h"
#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_relay/messages/RelayCodec.h"
#include "lacewingmux_relay/store/RelayedStore.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds statusRetryDelay{500}; // a few round trips to a slow store
// Interval at which subscribers' data is confirmed as recent.
constexpr std::chrono::milliseconds contactInterval{300};

} // namespace

RecordsNode::RecordsNode(const NodeSettings &nodeSettings, PlatformAdapter platformAdapter,
                         std::function<void()> stoppedHook)
    : settings(nodeSettings)
    , platform(std::move(platformAdapter))
    , stopped(std::move(stoppedHook))
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
    this->replicaWatch.reset();
    this->evacuationWatch.reset();
    this->membership.reset();
    this->traffic.reset();
}

void RecordsNode::beginStop()
{
    if (std::exchange(this->stopping, true))
        return;
    LogEvent(LogSeverity::Info, "stopBegins").field("vm", this->settings.vm);
    this->traffic->post([this](RecordsTrafficServices &services) {
        services.beginStop([this] { this->queue.post([this] { this->stopped(); }); });
    });
}

void RecordsNode::startTraffic()
{
    RecordsTrafficServices::Hooks hooks;
    hooks.records.synced = [this] {
        this->queue.post([this] { this->membership->declareSynced(); });
    };
    hooks.records.copied = [this] { this->queue.post([this] { this->finishRetirement(); }); };
    hooks.records.memberSilent = [this](const VmIncarnation &member) {
        this->queue.post([this, member] {
            if (RecordsMembership::withoutSilentMember(this->membership->view(), member))
                this->membership->removeSilentMember(member);
        });
    };
    hooks.records.standbyCanReplace = [this](const VmIncarnation &member) {
        this->queue.post([this, member] { this->membership->replaceAsStandby(member); });
    };
    hooks.records.standbyNeeded = [this](const VmIncarnation &member) {
        this->queue.post([this, member] { this->membership->requestStandby(member); });
    };
    hooks.records.placeLost = [this](const VmIncarnation &member, std::uint64_t viewNumber) {
        this->queue.post(
                [this, member, viewNumber] { this->membership->freePlace(member, viewNumber); });
    };
    hooks.records.silentMemberDispensable = [this](const VmIncarnation &member,
                                                   std::uint64_t viewNumber) {
        this->queue.post([this, member, viewNumber] {
            this->membership->letSilentMemberLeave(member, viewNumber);
        });
    };
    hooks.records.predecessorsCopied = [this](const std::set<VmIncarnation> &silentLeaving,
                                              std::uint64_t viewNumber) {
        this->queue.post([this, silentLeaving, viewNumber] {
            this->membership->notePredecessorsCopied(silentLeaving, viewNumber);
        });
    };
    hooks.records.newerView = [this](const QByteArray &document) {
        this->queue.post([this, document] { this->membership->adoptViewDocument(document); });
    };
    hooks.records.newerConfiguration = [this](const ConfigurationDocumentMessage &message) {
        this->queue.post([this, message] { this->applyConfiguration(message.document); });
    };
    this->connectRelays(hooks);
    this->traffic = std::make_unique<ServiceThread<RecordsTrafficServices>>(
            QStringLiteral("traffic"), [this, hooks] {
                return std::make_unique<RecordsTrafficServices>(
                        this->settings, this->self.incarnation, *this->metrics, hooks);
            });
}

void RecordsNode::connectStore()
{
    this->store = std::make_unique<RelayedStore>(
            this->platform.createStore(
                    this->timers, *this->metrics,
                    [this](bool reachable) { this->handleStoreContact(reachable); }),
            this->timers, RelayedStore::Source::Store);
    this->store->setRelevance(this->platform.replicaPrefix, this->platform.replicaRelevance());
    this->store->setUpdateHook([this](const RelayUpdate &update) {
        if (!this->duty.hasSubscribers)
            return;
        this->traffic->post(
                [bytes = RelayCodec::encodeUpdate(update)](RecordsTrafficServices &services) {
                    services.relayServer().broadcast(bytes);
                });
    });
    this->contactTimer = this->timers.every(contactInterval, [this] {
        if (this->duty.hasSubscribers)
            this->reportContact();
    });
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
    this->retirementWatch = this->store->watchPrefix(
            this->platform.retirementPrefix, 0, [this](const StoreRecord &record) {
                if (record.key == this->platform.retirementKey && record.createRevision != 0)
                    this->beginRetirement();
            });
}

void RecordsNode::connectRelays(RecordsTrafficServices::Hooks &hooks)
{
    hooks.relayServer.contentsNeeded = [this](const VmIncarnation &subscriber) {
        this->queue.post([this, subscriber] { this->sendContents(subscriber); });
    };
    hooks.relayServer.demandChanged = [this](bool demanded) {
        this->queue.post([this, demanded] {
            this->duty.hasSubscribers = demanded;
            this->updateSource();
        });
    };
    hooks.relayClient.update = [this](const RelayUpdate &update) {
        this->queue.post([this, update] { this->store->applyUpdate(update); });
    };
    hooks.relayClient.contactChanged = [this](const RelayContact &contact) {
        this->queue.post([this, state = contact.state] {
            this->duty.relayState = state;
            this->updateSource();
        });
    };
    hooks.relayClient.isPreferredRelay = [this](bool ranks) {
        this->queue.post([this, ranks] {
            this->duty.isPreferredRelay = ranks;
            this->updateSource();
        });
    };
}

void RecordsNode::sendContents(const VmIncarnation &subscriber)
{
    // The subscriber asks again if the contents are not known yet.
    if (!this->replicaWatch || !this->store->isComplete())
        return;
    std::vector<QByteArray> updates;
    for (const RelayUpdate &update : this->store->contents())
        updates.push_back(RelayCodec::encodeUpdate(update));
    this->reportContact();
    this->traffic->post([subscriber, updates](RecordsTrafficServices &services) {
        services.relayServer().sendContents(subscriber, updates);
    });
}

void RecordsNode::handleStoreContact(bool reachable)
{
    this->storeReachable = reachable;
    this->reportContact();
    this->traffic->post([reachable](RecordsTrafficServices &services) {
        services.relayClient().setStoreReachable(reachable);
    });
}

void RecordsNode::reportContact()
{
    const auto lastContact = this->store ? this->store->lastContact() : std::nullopt;
    if (!lastContact)
        return;
    this->traffic->post([reachable = this->storeReachable,
                         contact = *lastContact](RecordsTrafficServices &services) {
        services.relayServer().setContact(reachable, contact);
    });
}

void RecordsNode::updateSource()
{
    this->store->setProbePace(this->duty.probePace());
    const bool usedStore = std::exchange(this->usesStore, this->duty.usesStore());
    // The relays have lost the store, so one watch probes it before the others call.
    if (!usedStore && this->usesStore && this->duty.relayState == RelayState::StoreLost)
        this->store->assumeUnreachable();
    this->store->setSource(this->usesStore ? RelayedStore::Source::Store
                                           : RelayedStore::Source::Relays);
    this->watchForSubscribers();
}

void RecordsNode::watchForSubscribers()
{
    if (!this->duty.hasSubscribers) {
        this->replicaWatch.reset();
        this->evacuationWatch.reset();
        return;
    }
    if (!this->replicaWatch)
        this->replicaWatch = this->store->watchPrefix(this->platform.replicaPrefix, 0,
                                                      [](const StoreRecord &) {});
    if (!this->evacuationWatch && !this->platform.evacuationPrefix.isEmpty())
        this->evacuationWatch = this->store->watchPrefix(this->platform.evacuationPrefix, 0,
                                                         [](const StoreRecord &) {});
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
    // The others made this VM a leaving member while it was silent: it joins again.
    if (!this->retiring) {
        this->membership->leave({});
        return;
    }
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
