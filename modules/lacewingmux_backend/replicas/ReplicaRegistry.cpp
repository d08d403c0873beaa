#include "lacewingmux_backend/replicas/ReplicaRegistry.h"

#include "lacewingmux_backend/messages/BackendMessages.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

const QByteArray vmPrefix = QByteArrayLiteral("platform/vms/");

constexpr std::chrono::milliseconds firstReadRetry{200};
constexpr std::chrono::milliseconds maxReadRetry{5000};
constexpr std::chrono::milliseconds publishDelay{20};
constexpr std::chrono::milliseconds reportDelay{50};
constexpr int pollsUntilStale = 3;

std::chrono::milliseconds jittered(std::chrono::milliseconds interval, std::mt19937_64 &random)
{
    const double factor = std::uniform_real_distribution<double>(0.8, 1.2)(random);
    return std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(
            factor * static_cast<double>(interval.count())));
}

} // namespace

ReplicaRegistry::ReplicaRegistry(const ReplicaRegistryEnvironment &registryEnvironment,
                                 const ReplicaRegistrySettings &registrySettings)
    : environment(registryEnvironment)
    , settings(registrySettings)
    , timers(registryEnvironment.timers)
    , random(registrySettings.seed)
    , connections(registryEnvironment.timers)
    , engineClient(this->connections, this->timers)
    , replicaPrefix("lacewingmux/backends/" + registryEnvironment.self.zone.toUtf8() + '/')
    , unreadKeyPrefixes{this->replicaPrefix, vmPrefix}
{
    if (!this->environment.hub)
        return;
    this->environment.hub->setHandler(FrameKind::ReplicaReport,
                                      [this](const VmIncarnation &, const PeerFrame &frame) {
                                          this->receiveLoadReport(frame);
                                      });
}

ReplicaRegistry::~ReplicaRegistry() = default;

void ReplicaRegistry::start()
{
    this->readRecords(this->replicaPrefix, firstReadRetry);
    this->readRecords(vmPrefix, firstReadRetry);
}

void ReplicaRegistry::adoptView(std::shared_ptr<const ZoneView> zoneView)
{
    this->view = std::move(zoneView);
}

void ReplicaRegistry::readRecords(const QByteArray &prefix, std::chrono::milliseconds retryDelay)
{
    this->environment.store.readPrefix(
            prefix, [this, prefix, retryDelay, alive = std::weak_ptr<char>(this->lifetimeToken)](
                            const std::optional<std::vector<StoreRecord>> &records) {
                if (alive.expired())
                    return;
                if (!records) {
                    const auto next = std::min(retryDelay * 2, maxReadRetry);
                    this->readRetries[prefix] = this->timers.after(
                            jittered(retryDelay, this->random),
                            [this, prefix, next] { this->readRecords(prefix, next); });
                    return;
                }
                std::int64_t revision = 0;
                for (const StoreRecord &record : *records) {
                    revision = std::max(revision, record.modRevision);
                    this->applyChange(record);
                }
                this->unreadKeyPrefixes.erase(prefix);
                this->watch(prefix, revision);
                this->schedulePublish();
            });
}

void ReplicaRegistry::watch(const QByteArray &prefix, std::int64_t afterRevision)
{
    this->watches[prefix] = this->environment.store.watchPrefix(
            prefix, afterRevision,
            [this](const StoreRecord &change) { this->applyChange(change); });
}

void ReplicaRegistry::applyChange(const StoreRecord &change)
{
    if (change.key.startsWith(this->replicaPrefix))
        this->applyReplicaRecord(QString::fromUtf8(change.key.mid(this->replicaPrefix.size())),
                                 change.value);
    else if (change.key.startsWith(vmPrefix))
        this->applyVmRecord(QString::fromUtf8(change.key.mid(vmPrefix.size())), change.value);
    this->schedulePublish();
}

void ReplicaRegistry::applyReplicaRecord(const QString &name, const QByteArray &json)
{
    if (json.isEmpty()) {
        this->replicas.erase(name);
        return;
    }
    try {
        const ReplicaRecord record =
                ReplicaRecord::fromJson(this->environment.self.zone, name, json);
        const bool isNew = !this->replicas.contains(name);
        KnownReplica &known = this->replicas[name];
        if (known.record.url != record.url)
            known.load.reset();
        known.record = record;
        if (isNew)
            this->poll(name);
    } catch (const LacewingmuxError &error) {
        // The previous record of the replica stays in effect.
        LogEvent(LogSeverity::Error, "replicaRecordRefused").field("fault", error.message());
    }
}

void ReplicaRegistry::applyVmRecord(const QString &vm, const QByteArray &json)
{
    const QString state =
            QJsonDocument::fromJson(json).object().value(QStringLiteral("state")).toString();
    this->vmIsLeaving[vm] = state != QStringLiteral("live");
}

void ReplicaRegistry::schedulePoll(const QString &name)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    found->second.nextPoll = this->timers.after(jittered(this->pollInterval(), this->random),
                                                [this, name] { this->poll(name); });
}

void ReplicaRegistry::poll(const QString &name)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end() || found->second.record.kind != RouteKind::ModelEngine)
        return;
    if (!this->isPolledByThisVm(found->second)) {
        this->schedulePoll(name);
        return;
    }
    this->engineClient.readLoad(found->second.record.url, this->pollInterval() * 2,
                                [this, name](const std::optional<EngineLoad> &load) {
                                    this->pollFinished(name, load);
                                });
}

void ReplicaRegistry::pollFinished(const QString &name, const std::optional<EngineLoad> &load)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    if (load) {
        found->second.loadUpdatedAt = this->timers.now();
        found->second.load = MeasuredLoad{*load, this->timers.now()};
        this->scheduleLoadReport(name);
        this->schedulePublish();
    }
    this->schedulePoll(name);
}

bool ReplicaRegistry::isPolledByThisVm(const KnownReplica &replica) const
{
    const bool loadIsRecent =
            this->timers.now() - replica.loadUpdatedAt < this->pollInterval() * pollsUntilStale;
    if (!this->environment.hub || !this->view || !this->view->contains(this->environment.self)
        || !loadIsRecent)
        return true;
    const VmIncarnation *poller = nullptr;
    std::uint64_t highest = 0;
    const std::uint64_t replicaHash = stableHash(replica.record.name.toUtf8());
    for (const VmDescriptor &member : this->view->members()) {
        const std::uint64_t weight =
                combineHashes(stableHash(member.incarnation.vm.toUtf8()), replicaHash);
        if (!poller || weight > highest) {
            poller = &member.incarnation;
            highest = weight;
        }
    }
    return !poller || *poller == this->environment.self;
}

std::chrono::milliseconds ReplicaRegistry::pollInterval() const
{
    const auto count = static_cast<std::chrono::milliseconds::rep>(this->replicas.size());
    return std::max(this->settings.minPollInterval, this->settings.pollIntervalPerReplica * count);
}

void ReplicaRegistry::scheduleLoadReport(const QString &name)
{
    if (!this->environment.hub || !this->view)
        return;
    this->unreportedReplicas.insert(name);
    if (std::exchange(this->reportPending, true))
        return;
    this->reportTimer = this->timers.after(reportDelay, [this] { this->sendLoadReport(); });
}

void ReplicaRegistry::sendLoadReport()
{
    this->reportPending = false;
    if (!this->view)
        return;
    std::vector<ReplicaLoadEntry> loads;
    for (const QString &name : std::exchange(this->unreportedReplicas, {})) {
        const auto found = this->replicas.find(name);
        if (found == this->replicas.end() || !found->second.load)
            continue;
        const MeasuredLoad &measured = *found->second.load;
        loads.push_back({name, measured.load,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                                 this->timers.now() - measured.measuredAt)});
    }
    PeerFrame frame;
    frame.kind = FrameKind::ReplicaReport;
    frame.payload = encodeReplicaReport(loads);
    for (const VmDescriptor &member : this->view->members()) {
        if (member.incarnation != this->environment.self)
            this->environment.hub->send(member.incarnation, frame);
    }
}

void ReplicaRegistry::receiveLoadReport(const PeerFrame &frame)
{
    const auto loads = decodeReplicaReport(frame.payload);
    if (!loads)
        return;
    for (const ReplicaLoadEntry &entry : *loads) {
        const auto found = this->replicas.find(entry.replica);
        if (found == this->replicas.end())
            continue;
        const TimerService::SteadyTime measuredAt = this->timers.now() - entry.age;
        found->second.loadUpdatedAt = std::max(found->second.loadUpdatedAt, measuredAt);
        if (!found->second.load || found->second.load->measuredAt < measuredAt)
            found->second.load = MeasuredLoad{entry.load, measuredAt};
    }
    this->schedulePublish();
}

void ReplicaRegistry::schedulePublish()
{
    // A replica must not be published before the state of its VM is known.
    if (!this->unreadKeyPrefixes.empty() || std::exchange(this->publishPending, true))
        return;
    this->publishTimer = this->timers.after(publishDelay, [this] { this->publishNow(); });
}

void ReplicaRegistry::publishNow()
{
    this->publishPending = false;
    std::vector<ReplicaSnapshot> snapshots;
    for (const auto &entry : this->replicas) {
        const KnownReplica &known = entry.second;
        const bool leaving = this->vmIsLeaving.value(known.record.vm, false);
        snapshots.push_back({known.record, leaving, known.load});
    }
    this->published = std::make_shared<const ReplicaSet>(std::move(snapshots));
    this->environment.publish(this->published);
}

} // namespace lacewingmux
