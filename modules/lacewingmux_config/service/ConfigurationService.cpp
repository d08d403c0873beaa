#include "lacewingmux_config/service/ConfigurationService.h"

#include "lacewingmux_config/service/ConfigurationCodec.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <QJsonArray>
#include <QJsonObject>

#include <algorithm>
#include <iterator>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds longestStartPause{500};
constexpr int allZonesEveryTicks = 15; ///< how often zones go out that have not changed

PeerFrame zonesFrame(const std::vector<ZoneInForce> &zones)
{
    PeerFrame frame;
    frame.kind = FrameKind::ConfigurationInForce;
    frame.payload = ConfigurationCodec::encode(zones);
    return frame;
}

} // namespace

ConfigurationService::ConfigurationService(PlatformStore &platformStore, PeerHub &controlHub,
                                           TimerService &timerService,
                                           MetricsRecorder &metricsRecorder,
                                           ConfigurationHooks daemonHooks,
                                           const QString &dataFolder, std::uint64_t jitterSeed)
    : hub(controlHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , hooks(std::move(daemonHooks))
    , snapshot(dataFolder)
    , contact(std::make_shared<StoreContact>())
    , follower(
              platformStore, timerService,
              [this](const ConfigurationFile &file) { this->take(file); },
              [this](TimerService::SteadyTime asOf) { this->noteContact(asOf); })
    , generator(jitterSeed)
{ }

void ConfigurationService::start()
{
    for (const ConfigurationFile &file : this->snapshot.load())
        this->publish(this->state.adopt(file));
    this->hub.setHandler(FrameKind::ConfigurationAnnouncement,
                         [this](const VmIncarnation &sender, const PeerFrame &frame) {
                             this->handleAnnouncement(sender, frame);
                         });
    this->hub.setHandler(FrameKind::ConfigurationRequest,
                         [this](const VmIncarnation &sender, const PeerFrame &frame) {
                             this->handleRequest(sender, frame);
                         });
    this->hub.setHandler(
            FrameKind::ConfigurationInForce,
            [this](const VmIncarnation &, const PeerFrame &frame) { this->handleZones(frame); });
    this->hub.addLinkHandler(
            [this](const VmIncarnation &peer, bool up) { this->handleLink(peer, up); });
    this->viewsChanged();
    this->startTimer = this->timers.after(this->randomPause(longestStartPause), [this] {
        this->follower.poll();
        this->tickTimer = this->timers.every(announceInterval, [this] { this->tick(); });
    });
}

void ConfigurationService::viewsChanged()
{
    this->peers = this->hooks.peers();
    this->follower.setFollowing(this->peers.isWatcher);
}

std::vector<ZoneInForce> ConfigurationService::zonesInForce() const
{
    const TimerService::SteadyTime now = this->timers.now();
    if (!this->peers.isWatcher)
        return this->book.zones(now);
    const QString ownZone = this->hub.self().zone;
    std::vector<ZoneInForce> zones = this->book.zones(now);
    std::erase_if(zones, [&ownZone](const ZoneInForce &zone) { return zone.zone == ownZone; });
    zones.insert(zones.begin(), this->book.ownZone(ownZone, this->peers.zoneMembers, now));
    return zones;
}

QJsonArray ConfigurationService::zonesInForceJson() const
{
    QJsonArray array;
    for (const ZoneInForce &zone : this->zonesInForce()) {
        array.append(QJsonObject{
                {QStringLiteral("zone"), zone.zone},
                {QStringLiteral("configuration"), static_cast<qint64>(zone.configuration)},
                {QStringLiteral("keys"), static_cast<qint64>(zone.keys)},
                {QStringLiteral("vms"), static_cast<qint64>(zone.vms)},
                {QStringLiteral("reportedVms"), static_cast<qint64>(zone.reportedVms)},
                {QStringLiteral("ageMs"), static_cast<qint64>(zone.age.count())}});
    }
    return array;
}

void ConfigurationService::tick()
{
    ++this->ticks;
    const TimerService::SteadyTime now = this->timers.now();
    this->book.report(this->hub.self(), this->state.revisions(), now);
    this->book.forgetSilent(now);
    const auto age = this->contact->age(now);
    std::bernoulli_distribution asksStore(fallbackChance);
    const bool outOfTouch = !age || *age > fallbackAfter;
    if (!this->peers.isWatcher && outOfTouch && asksStore(this->generator))
        this->follower.poll();
    if (age)
        this->metrics.set("lacewingmux_configuration_store_age_seconds", {},
                          std::chrono::duration<double>(*age).count());
    this->announceRegularly();
    this->sendZones();
}

void ConfigurationService::take(const ConfigurationFile &file)
{
    const ConfigurationState::Change change = this->state.adopt(file);
    if (change == ConfigurationState::Change::None)
        return;
    this->publish(change);
    this->snapshot.save(this->state.newerThan(RevisionSet()));
    this->announceToZone();
}

void ConfigurationService::publish(ConfigurationState::Change change)
{
    if (change == ConfigurationState::Change::None)
        return;
    const RevisionSet revisions = this->state.revisions();
    LogEvent(LogSeverity::Info, "configurationInForce")
            .field("configuration", static_cast<quint64>(revisions.configuration))
            .field("keyRevisions", static_cast<quint64>(revisions.keys()));
    this->metrics.set("lacewingmux_configuration_revision", {},
                      static_cast<double>(revisions.configuration));
    this->book.report(this->hub.self(), revisions, this->timers.now());
    if (change == ConfigurationState::Change::Configuration) {
        if (this->hooks.onConfiguration)
            this->hooks.onConfiguration(this->state.configuration());
        return;
    }
    if (this->hooks.onKeyRing)
        this->hooks.onKeyRing(this->state.keyRing());
    if (this->hooks.onKeysWithdrawn && !this->state.lastWithdrawn().empty())
        this->hooks.onKeysWithdrawn(this->state.lastWithdrawn());
}

void ConfigurationService::noteContact(TimerService::SteadyTime asOf)
{
    this->contact->note(asOf);
}

PeerFrame ConfigurationService::announcement() const
{
    ConfigurationAnnouncement message;
    message.revisions = this->state.revisions();
    message.storeAge = this->contact->age(this->timers.now());
    PeerFrame frame;
    frame.kind = FrameKind::ConfigurationAnnouncement;
    frame.payload = ConfigurationCodec::encode(message);
    return frame;
}

void ConfigurationService::announceToZone()
{
    const PeerFrame frame = this->announcement();
    for (const VmIncarnation &member : this->peers.zoneMembers)
        this->hub.send(member, frame);
    if (!this->peers.isWatcher)
        return;
    for (const VmIncarnation &watcher : this->peers.otherWatchers)
        this->hub.send(watcher, frame);
}

void ConfigurationService::announceRegularly()
{
    if (this->peers.isWatcher) {
        this->announceToZone();
        return;
    }
    const PeerFrame frame = this->announcement();
    for (const VmIncarnation &watcher : this->peers.zoneWatchers)
        this->hub.send(watcher, frame);
}

void ConfigurationService::sendZones()
{
    if (!this->peers.isWatcher)
        return;
    const std::vector<ZoneInForce> zones = this->zonesInForce();
    const std::vector<ZoneInForce> changedZones = this->book.changedSinceTold(zones);
    const bool sendsAll = this->ticks % allZonesEveryTicks == 0;
    const PeerFrame toWatchers = zonesFrame(sendsAll ? zones : std::vector{zones.front()});
    for (const VmIncarnation &watcher : this->peers.otherWatchers)
        this->hub.send(watcher, toWatchers);
    if (!sendsAll && changedZones.empty())
        return;
    const PeerFrame toMembers = zonesFrame(sendsAll ? zones : changedZones);
    for (const VmIncarnation &member : this->peers.zoneMembers)
        this->hub.send(member, toMembers);
}

void ConfigurationService::handleAnnouncement(const VmIncarnation &sender, const PeerFrame &frame)
{
    const auto message = ConfigurationCodec::decodeAnnouncement(frame.payload);
    if (!message)
        return;
    this->book.report(sender, message->revisions, this->timers.now());
    for (const ConfigurationFile &file : message->files)
        this->take(file);
    if (!message->files.empty()) {
        this->requestTimer.cancel();
        this->requestPending = false;
    }
    if (this->state.revisions().covers(message->revisions)) {
        this->holders.erase(sender);
        if (!this->holders.empty())
            this->requestSoon(requestJitter);
        if (message->storeAge)
            this->noteContact(this->timers.now() - *message->storeAge);
        return;
    }
    this->holders[sender] = message->revisions;
    this->requestSoon(requestJitter);
}

void ConfigurationService::handleRequest(const VmIncarnation &sender, const PeerFrame &frame)
{
    const auto known = ConfigurationCodec::decodeRequest(frame.payload);
    if (!known)
        return;
    ConfigurationAnnouncement answer;
    answer.revisions = this->state.revisions();
    answer.storeAge = this->contact->age(this->timers.now());
    answer.files = this->state.newerThan(*known);
    PeerFrame reply;
    reply.kind = FrameKind::ConfigurationAnnouncement;
    reply.payload = ConfigurationCodec::encode(answer);
    this->hub.send(sender, reply);
}

void ConfigurationService::handleZones(const PeerFrame &frame)
{
    if (const auto zones = ConfigurationCodec::decodeZones(frame.payload))
        this->book.learn(*zones, this->timers.now());
}

void ConfigurationService::handleLink(const VmIncarnation &peer, bool up)
{
    if (!up) {
        this->holders.erase(peer);
        return;
    }
    this->hub.send(peer, this->announcement());
    if (this->peers.isWatcher)
        this->hub.send(peer, zonesFrame(this->zonesInForce()));
}

void ConfigurationService::requestSoon(std::chrono::milliseconds longestPause)
{
    if (this->requestPending)
        return;
    this->requestPending = true;
    this->requestTimer =
            this->timers.after(this->randomPause(longestPause), [this] { this->request(); });
}

void ConfigurationService::request()
{
    this->requestPending = false;
    const RevisionSet known = this->state.revisions();
    std::erase_if(this->holders, [this, &known](const auto &holder) {
        return known.covers(holder.second) || !this->hub.isConnected(holder.first);
    });
    if (this->holders.empty())
        return;
    std::uniform_int_distribution<std::size_t> choice(0, this->holders.size() - 1);
    const auto holder =
            std::next(this->holders.begin(), static_cast<std::ptrdiff_t>(choice(this->generator)));
    PeerFrame frame;
    frame.kind = FrameKind::ConfigurationRequest;
    frame.payload = ConfigurationCodec::encodeRequest(known);
    this->hub.send(holder->first, frame);
    this->requestPending = true;
    this->requestTimer = this->timers.after(requestTimeout, [this] { this->request(); });
}

std::chrono::milliseconds ConfigurationService::randomPause(std::chrono::milliseconds longest)
{
    std::uniform_int_distribution<std::int64_t> pause(0, longest.count());
    return std::chrono::milliseconds(pause(this->generator));
}

} // namespace lacewingmux
