#include "lacewingmux_daemon/assembly/ControlServices.h"

#include "lacewingmux_allowance/owner/AllowanceOwner.h"
#include "lacewingmux_config/service/CallerAuthority.h"
#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_daemon/assembly/PeerHubSetup.h"
#include "lacewingmux_daemon/assembly/StatusDocument.h"
#include "lacewingmux_daemon/assembly/TrafficServices.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_zone/views/FleetViews.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <QJsonArray>

#include <algorithm>

namespace lacewingmux {

namespace {

PlatformStoreSettings storeSettingsOf(const DaemonSettings &settings, const VmDescriptor &self)
{
    PlatformStoreSettings result;
    for (const QString &endpoint : settings.store.endpoints)
        result.endpoints.push_back(QUrl(endpoint));
    result.clientName = settings.vm;
    result.callsPerSecond = settings.store.callsPerSecond;
    result.burstCalls = settings.store.burstCalls;
    result.callTimeout = settings.store.callTimeout;
    result.jitterSeed = self.incarnation.incarnation;
    return result;
}

ZoneMembershipSettings membershipSettingsOf(const DaemonSettings &settings)
{
    ZoneMembershipSettings result;
    result.heartbeatInterval = settings.membership.heartbeatInterval;
    result.failureTimeout = settings.membership.failureTimeout;
    return result;
}

ReplicaRegistrySettings replicaSettingsOf(const VmDescriptor &self)
{
    ReplicaRegistrySettings result;
    result.seed = self.incarnation.incarnation;
    return result;
}

QJsonObject viewObject(const ZoneView &view)
{
    QJsonArray members;
    for (const VmDescriptor &member : view.members())
        members.append(member.incarnation.toString());
    return {{QStringLiteral("zone"), view.zone()},
            {QStringLiteral("epoch"), static_cast<qint64>(view.epoch())},
            {QStringLiteral("members"), members}};
}

} // namespace

ControlServices::ControlServices(const DaemonSettings &settings, const VmDescriptor &self,
                                 const PeerHubSettings &hubSettings,
                                 const ControlEnvironment &controlEnvironment)
    : environment(controlEnvironment)
    , descriptor(self)
    , zones(settings.zones)
    , hub(hubSettings, environment.timers)
    , store(environment.timers, environment.metrics, storeSettingsOf(settings, self))
    , membership(this->hub, this->store, environment.timers, environment.metrics, self,
                 membershipSettingsOf(settings))
    , configuration(this->store, this->hub, environment.timers, environment.metrics,
                    this->configurationHooks(), settings.dataFolder, self.incarnation.incarnation)
    , shares(this->store, this->hub, environment.timers, environment.metrics, this->shareHooks(),
             settings.zones)
    , replicas(this->replicaEnvironment(), replicaSettingsOf(self))
{
    this->membership.setViewsHandler(
            [this](const std::shared_ptr<const FleetViews> &views, const ViewHistory &history) {
                this->adoptViews(views, history);
            });
    this->membership.setSeeds(seedPeersOf(settings));
    this->membership.start();
    this->configuration.start();
    this->replicas.start();
}

ControlServices::~ControlServices() = default;

void ControlServices::newerEpochSeen(std::uint64_t epoch)
{
    this->membership.newerEpochSeen(epoch);
}

void ControlServices::settled(std::uint64_t epoch)
{
    this->membership.journalSettled(epoch);
}

void ControlServices::leaveView()
{
    this->membership.leave();
}

QJsonObject ControlServices::status() const
{
    QJsonArray views;
    for (const auto &[zone, view] : this->membership.views()->views())
        views.append(viewObject(*view));
    return {{QStringLiteral("vm"), this->descriptor.incarnation.vm},
            {QStringLiteral("zone"), this->descriptor.incarnation.zone},
            {QStringLiteral("incarnation"), this->descriptor.incarnation.toString()},
            {QStringLiteral("member"), this->membership.isMember()},
            {QStringLiteral("storeReachable"), this->membership.isStoreReachable()},
            {QStringLiteral("views"), views},
            {QStringLiteral("configuration"),
             static_cast<qint64>(this->configuration.revisions().configuration)},
            {QStringLiteral("zonesInForce"), this->inForce()},
            {QStringLiteral("replicas"), replicasToStatus(*this->replicas.current())},
            {QStringLiteral("shares"),
             sharesToStatus(*this->shares.records().tableOf(this->descriptor.incarnation.zone))},
            {QStringLiteral("controlPeers"),
             static_cast<qint64>(this->hub.connectedPeers().size())}};
}

ReplicaRegistryEnvironment ControlServices::replicaEnvironment()
{
    const auto publish =
            [&traffic = this->environment.traffic](const std::shared_ptr<const ReplicaSet> &set) {
                traffic.post([set](TrafficServices &services) { services.adoptReplicas(set); });
            };
    return {this->environment.timers, this->store, &this->hub, this->descriptor.incarnation,
            publish};
}

QJsonArray ControlServices::inForce() const
{
    QJsonArray result = this->configuration.zonesInForceJson();
    for (const QString &zone : this->zones) {
        const bool heard = std::any_of(result.begin(), result.end(), [&zone](const auto &entry) {
            return entry.toObject().value(QLatin1String("zone")).toString() == zone;
        });
        if (!heard)
            result.append(QJsonObject{{QStringLiteral("zone"), zone},
                                      {QStringLiteral("configuration"), 0},
                                      {QStringLiteral("reportedVms"), 0}});
    }
    return result;
}

ConfigurationHooks ControlServices::configurationHooks()
{
    ConfigurationHooks hooks;
    hooks.peers = [this] {
        std::map<QString, std::vector<VmDescriptor>> members;
        for (const auto &[zone, view] : this->membership.views()->views())
            members[zone] = view->members();
        return ConfigurationPeers::fromViews(this->descriptor.incarnation, members);
    };
    hooks.onConfiguration = [this](const std::shared_ptr<const Configuration> &accepted) {
        this->adoptConfiguration(accepted);
    };
    hooks.onKeyRing = [this](const std::shared_ptr<const KeyRing> &) { this->publishAuthority(); };
    hooks.onKeysWithdrawn = [this](const std::vector<QString> &keyIds) {
        this->environment.traffic.post(
                [keyIds](TrafficServices &services) { services.withdrawKeys(keyIds); });
    };
    return hooks;
}

ShareRebalancerHooks ControlServices::shareHooks()
{
    ServiceThread<TrafficServices> &traffic = this->environment.traffic;
    ShareRebalancerHooks hooks;
    hooks.collectDemands = [this, &traffic](ShareRebalancerHooks::DemandCallback callback) {
        traffic.post([this, callback = std::move(callback)](TrafficServices &services) {
            this->environment.controlQueue.post(
                    [callback, demands = services.allowanceOwner().demands()] {
                        callback(demands);
                    });
        });
    };
    hooks.withdrawParts = [&traffic](const ShareItem &item, std::uint64_t parts) {
        traffic.post([item, parts](TrafficServices &services) {
            services.allowanceOwner().withdrawParts(item, parts);
        });
    };
    hooks.adoptFencedShare = [&traffic](const ShareItem &item, const ShareCounters &recorded) {
        traffic.post([item, recorded](TrafficServices &services) {
            services.allowanceOwner().adoptFencedShare(item, recorded);
        });
    };
    hooks.publishShares = [&traffic](const std::shared_ptr<const ShareTable> &table) {
        traffic.post([table](TrafficServices &services) {
            services.allowanceOwner().adoptShares(table);
        });
    };
    return hooks;
}

void ControlServices::adoptViews(const std::shared_ptr<const FleetViews> &views,
                                 const ViewHistory &history)
{
    this->configuration.viewsChanged();
    this->shares.adoptViews(views);
    this->replicas.adoptView(views->view(this->descriptor.incarnation.zone));
    const ViewSnapshot snapshot{views, views->view(this->descriptor.incarnation.zone), history};
    this->environment.traffic.post(
            [snapshot](TrafficServices &services) { services.adoptViews(snapshot); });
}

void ControlServices::adoptConfiguration(const std::shared_ptr<const Configuration> &accepted)
{
    this->shares.adoptConfiguration(accepted);
    this->environment.traffic.post(
            [accepted](TrafficServices &services) { services.adoptConfiguration(accepted); });
    this->publishAuthority();
}

void ControlServices::publishAuthority()
{
    const auto authority = std::make_shared<const CallerAuthority>(
            this->configuration.configuration(), this->configuration.keyRing(),
            this->configuration.storeContact());
    this->environment.traffic.post(
            [authority](TrafficServices &services) { services.adoptAuthority(authority); });
}

} // namespace lacewingmux
