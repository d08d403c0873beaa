#include "lacewingmux_zone/membership/ZoneMembership.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/membership/MembershipCodec.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>

namespace lacewingmux {

namespace {

/** Returns whether a member of the earlier view is missing from the later one. */
bool hasLostMemberOf(const ZoneView &later, const ZoneView &earlier)
{
    const std::vector<VmDescriptor> &members = earlier.members();
    return std::any_of(members.begin(), members.end(), [&later](const VmDescriptor &member) {
        return !later.contains(member.incarnation);
    });
}

} // namespace

ZoneMembership::ZoneMembership(PeerHub &controlHub, PlatformStore &platformStore,
                               TimerService &timerService, MetricsRecorder &metricsRecorder,
                               VmDescriptor ownDescriptor,
                               ZoneMembershipSettings membershipSettings)
    : hub(controlHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , self(std::move(ownDescriptor))
    , settings(membershipSettings)
    , records(platformStore, timerService, this->self.incarnation.zone, settings.pollInterval)
    , fleetViews(std::make_shared<FleetViews>())
{
    this->subscribe();
}

ZoneMembership::~ZoneMembership() = default;

void ZoneMembership::setViewsHandler(ViewsHandler handler)
{
    this->viewsHandler = std::move(handler);
}

void ZoneMembership::setSeeds(std::vector<VmDescriptor> seedPeers)
{
    this->seeds = std::move(seedPeers);
}

void ZoneMembership::start()
{
    this->startedAt = this->timers.now();
    this->updatePeers();
    this->records.start();
    this->heartbeat =
            this->timers.every(this->settings.heartbeatInterval, [this] { this->tick(); });
}

void ZoneMembership::leave()
{
    this->leaving = true;
    this->proposeViewChange();
}

void ZoneMembership::journalSettled(std::uint64_t epoch)
{
    this->settledEpoch = std::max(this->settledEpoch, epoch);
}

void ZoneMembership::newerEpochSeen(std::uint64_t epoch)
{
    if (epoch > this->ownView()->epoch())
        this->records.readAll();
}

bool ZoneMembership::isMember() const
{
    return this->ownView()->contains(this->self.incarnation);
}

bool ZoneMembership::isSoleMember() const
{
    return this->isMember() && this->ownView()->members().size() == 1;
}

std::shared_ptr<const ZoneView> ZoneMembership::ownView() const
{
    return this->ownRecord().view();
}

std::shared_ptr<const FleetViews> ZoneMembership::views() const
{
    return this->fleetViews;
}

bool ZoneMembership::isWatcher() const
{
    const auto watchers = this->watchersOf(*this->ownView());
    return std::any_of(watchers.begin(), watchers.end(), [this](const VmDescriptor &watcher) {
        return watcher.incarnation == this->self.incarnation;
    });
}

bool ZoneMembership::isStoreReachable() const
{
    return this->records.isReachable();
}

void ZoneMembership::subscribe()
{
    this->records.setRecordHandler(
            [this](const ZoneRecord &record) { this->onRecord(record, RecordSource::Store); });
    this->hub.setHandler(FrameKind::Heartbeat, [this](const VmIncarnation &, const auto &frame) {
        this->onHeartbeat(frame);
    });
    this->hub.setHandler(FrameKind::ViewAnnouncement,
                         [this](const VmIncarnation &, const PeerFrame &frame) {
                             for (const ZoneRecord &record : decodeViewRecords(frame.payload))
                                 this->onRecord(record, RecordSource::Peer);
                         });
    this->hub.addLinkHandler(
            [this](const VmIncarnation &peer, bool up) { this->onLink(peer, up); });
}

void ZoneMembership::tick()
{
    this->monitor.tick(this->timers.now(), this->settings.failureTimeout);
    this->sendHeartbeats();
    if (this->mayNeedViewChange())
        this->proposeViewChange();
}

void ZoneMembership::sendHeartbeats()
{
    const PeerFrame frame{FrameKind::Heartbeat, this->ownView()->epoch(), 0,
                          encodeHeartbeat(this->self)};
    if (this->isMember()) {
        for (const VmIncarnation &peer : this->heartbeatPeers(1))
            this->hub.send(peer, frame);
        return;
    }
    if (this->leaving)
        return;
    for (const VmDescriptor &member : this->ownView()->members())
        this->hub.send(member.incarnation, frame);
}

void ZoneMembership::proposeViewChange()
{
    this->records.update([this](const ZoneRecord &current) -> std::optional<ZoneRecord> {
        const auto members = proposeMembers(this->proposalInput(current));
        if (!members)
            return std::nullopt;
        if (current.epoch() == 0)
            return ZoneRecord(this->self.incarnation.zone, *members);
        return current.next(*members);
    });
}

ViewProposalInput ZoneMembership::proposalInput(const ZoneRecord &record) const
{
    const auto now = this->timers.now();
    ViewProposalInput result;
    result.self = this->self;
    result.record = record;
    result.leaving = this->leaving;
    result.memberHeardRecently = this->lastMemberContactAt != TimerService::SteadyTime{}
                                 && now - this->lastMemberContactAt < this->settings.failureTimeout;
    result.mayJoinWithoutContact =
            now - this->startedAt >= this->settings.joinWithoutContactTimeout;
    result.mayRemoveSilent = this->settledEpoch >= this->epochToSettle
                             || now - this->epochToSettleSince >= this->settings.nextRemovalTimeout;
    result.silent = this->silentMembers();
    for (const auto &[incarnation, joiner] : this->joiners) {
        if (now - joiner.heardAt < this->settings.failureTimeout)
            result.joiners.push_back(joiner.descriptor);
    }
    for (const VmDescriptor &member : record.view()->members()) {
        if (this->records.goneVms().contains(member.incarnation.vm))
            result.gone.insert(member.incarnation);
    }
    return result;
}

std::vector<VmIncarnation> ZoneMembership::silentMembers() const
{
    const auto now = this->timers.now();
    const auto count = this->monitor.silentVms(now, this->settings.failureTimeout).size();
    const auto timeoutFactor = std::max<std::size_t>(count, 1);
    return this->monitor.silentVms(now, this->settings.failureTimeout * timeoutFactor);
}

bool ZoneMembership::mayNeedViewChange() const
{
    if (!this->isMember())
        return !this->leaving;
    return proposeMembers(this->proposalInput(this->ownRecord())).has_value();
}

void ZoneMembership::onHeartbeat(const PeerFrame &frame)
{
    const auto sender = decodeHeartbeat(frame.payload);
    if (!sender || sender->incarnation.zone != this->self.incarnation.zone)
        return;
    const auto now = this->timers.now();
    this->monitor.recordHeartbeat(sender->incarnation, now);
    this->lastMemberContactAt = now;
    const bool knowsView = frame.epoch == this->ownView()->epoch();
    if (knowsView && this->isMember() && !this->ownView()->contains(sender->incarnation))
        this->joiners.insert_or_assign(sender->incarnation, Joiner{*sender, now});
    if (frame.epoch > this->ownView()->epoch())
        this->newerEpochSeen(frame.epoch);
    else if (frame.epoch < this->ownView()->epoch())
        this->hub.send(sender->incarnation, {FrameKind::ViewAnnouncement, this->ownView()->epoch(),
                                             0, encodeViewRecords({this->ownRecord()})});
}

void ZoneMembership::onLink(const VmIncarnation &peer, bool up)
{
    if (!up || this->recordsByZone.empty())
        return;
    if (peer.zone == this->self.incarnation.zone)
        this->lastMemberContactAt = this->timers.now();
    std::vector<ZoneRecord> known;
    known.reserve(this->recordsByZone.size());
    for (const auto &[zone, record] : this->recordsByZone)
        known.push_back(record);
    this->hub.send(peer, {FrameKind::ViewAnnouncement, this->ownView()->epoch(), 0,
                          encodeViewRecords(known)});
}

void ZoneMembership::onRecord(const ZoneRecord &record, RecordSource source)
{
    const QString &zone = record.view()->zone();
    const auto known = this->recordsByZone.find(zone);
    if (known != this->recordsByZone.end() && known->second.epoch() >= record.epoch())
        return;
    const bool own = zone == this->self.incarnation.zone;
    if (own)
        this->adoptOwnRecord(record);
    this->recordsByZone.insert_or_assign(zone, record);
    this->updatePeers();
    if (own)
        this->monitor.watch(this->heartbeatPeers(-1), this->timers.now());
    this->records.setWatching(this->isWatcher());
    // If every VM forwarded it to all others, messages would grow with the square of the zone.
    if (source == RecordSource::Store || this->isWatcher())
        this->sendRecordToPeers(record);
    this->callViewsHandler();
}

void ZoneMembership::adoptOwnRecord(const ZoneRecord &record)
{
    const bool joined = !this->isMember() && record.view()->contains(this->self.incarnation);
    if (joined || hasLostMemberOf(*record.view(), *this->ownView())) {
        this->epochToSettleSince = this->timers.now();
        this->epochToSettle = record.epoch();
    }
    std::erase_if(this->joiners,
                  [&record](const auto &joiner) { return record.view()->contains(joiner.first); });
    if (this->isMember() && !record.view()->contains(this->self.incarnation))
        this->startedAt = this->timers.now();
    const std::vector<MetricLabel> labels{{QStringLiteral("zone"), this->self.incarnation.zone}};
    this->metrics.count("lacewingmux_view_changes_total", labels, 1);
    this->metrics.set("lacewingmux_view_epoch", labels, static_cast<double>(record.epoch()));
    this->metrics.set("lacewingmux_view_members", labels,
                      static_cast<double>(record.view()->members().size()));
    LogEvent(LogSeverity::Info, "viewAdopted")
            .field("zone", this->self.incarnation.zone)
            .field("epoch", static_cast<quint64>(record.epoch()))
            .field("members", static_cast<quint64>(record.view()->members().size()))
            .field("isMember", record.view()->contains(this->self.incarnation));
}

void ZoneMembership::callViewsHandler()
{
    std::map<QString, std::shared_ptr<const ZoneView>> viewsByZone;
    for (const auto &[zone, record] : this->recordsByZone)
        viewsByZone.emplace(zone, record.view());
    this->fleetViews = std::make_shared<FleetViews>(std::move(viewsByZone));
    if (this->viewsHandler)
        this->viewsHandler(this->fleetViews, this->ownRecord().history());
}

void ZoneMembership::sendRecordToPeers(const ZoneRecord &record)
{
    const PeerFrame frame{FrameKind::ViewAnnouncement, record.epoch(), 0,
                          encodeViewRecords({record})};
    const bool own = record.view()->zone() == this->self.incarnation.zone;
    for (const VmDescriptor &member : this->ownView()->members())
        this->hub.send(member.incarnation, frame);
    if (!own)
        return;
    for (const auto &[zone, other] : this->recordsByZone) {
        for (const VmDescriptor &watcher : this->watchersOf(*other.view()))
            this->hub.send(watcher.incarnation, frame);
    }
}

void ZoneMembership::updatePeers()
{
    std::vector<VmDescriptor> peers;
    if (this->recordsByZone.empty())
        peers = this->seeds;
    for (const auto &[zone, record] : this->recordsByZone) {
        const bool own = zone == this->self.incarnation.zone;
        for (const VmDescriptor &peer :
             own ? record.view()->members() : this->watchersOf(*record.view())) {
            if (peer.incarnation != this->self.incarnation)
                peers.push_back(peer);
        }
    }
    this->hub.setPeers(peers);
}

std::vector<VmDescriptor> ZoneMembership::watchersOf(const ZoneView &view) const
{
    std::vector<VmDescriptor> watchers = view.members();
    const auto weight = [](const VmDescriptor &member) {
        return stableHash("watcher " + member.incarnation.vm.toUtf8());
    };
    std::sort(watchers.begin(), watchers.end(), [&weight](const auto &left, const auto &right) {
        return weight(left) < weight(right);
    });
    if (watchers.size() > this->settings.watchersPerZone)
        watchers.resize(this->settings.watchersPerZone);
    return watchers;
}

std::vector<VmIncarnation> ZoneMembership::heartbeatPeers(int direction) const
{
    const std::vector<VmDescriptor> &members = this->ownView()->members();
    const auto own = std::find_if(members.begin(), members.end(), [this](const auto &member) {
        return member.incarnation == this->self.incarnation;
    });
    if (own == members.end())
        return {};
    const auto size = static_cast<std::ptrdiff_t>(members.size());
    const auto fanOut =
            std::min(static_cast<std::ptrdiff_t>(this->settings.heartbeatFanOut), size - 1);
    std::vector<VmIncarnation> result;
    for (std::ptrdiff_t step = 1; step <= fanOut; ++step) {
        const std::ptrdiff_t index = (own - members.begin() + size + direction * step) % size;
        result.push_back(members[static_cast<std::size_t>(index)].incarnation);
    }
    return result;
}

ZoneRecord ZoneMembership::ownRecord() const
{
    const auto known = this->recordsByZone.find(this->self.incarnation.zone);
    return known == this->recordsByZone.end() ? ZoneRecord() : known->second;
}

} // namespace lacewingmux
