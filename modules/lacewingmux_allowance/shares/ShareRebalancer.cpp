#include "lacewingmux_allowance/shares/ShareRebalancer.h"

#include "lacewingmux_allowance/aggregates/PowerTimes.h"
#include "lacewingmux_allowance/shares/ShareAnnouncement.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds roundInterval{1000};

/**
    How long an item must be missing before a zone other than its preferred zone, the first of
    zonesFor(), creates it.
*/
constexpr std::chrono::milliseconds creationDelay{3000};

/**
    The maximum number of record writes per round; further edits are dropped and decided anew in the
    next round.
*/
constexpr std::size_t maxWritesPerRound = 4;

} // namespace

ShareRebalancer::ShareRebalancer(PlatformStore &platformStore, PeerHub &controlHub,
                                 TimerService &timerService, MetricsRecorder &metricsRecorder,
                                 ShareRebalancerHooks ownerHooks,
                                 std::vector<QString> configuredZones)
    : hub(controlHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , hooks(std::move(ownerHooks))
    , ownZone(controlHub.self().zone)
    , zones(std::move(configuredZones))
    , transferPolicy(&DemandDrivenShares::decide)
    , recordStore(platformStore,
                  [this](const QByteArray &key, std::int64_t revision, const QByteArray &value) {
                      this->handleRecordUpdate(key, revision, value);
                  })
    , alive(std::make_shared<bool>(true))
{
    this->registerHandlers();
    this->roundTimer = this->timers.every(roundInterval, [this] { this->runRound(); });
    this->recordStore.refresh();
}

ShareRebalancer::~ShareRebalancer()
{
    *this->alive = false;
}

void ShareRebalancer::registerHandlers()
{
    this->hub.setHandler(FrameKind::ShareAnnouncement,
                         [this, token = this->alive](const auto &, const auto &frame) {
                             if (*token)
                                 this->handleAnnouncement(frame);
                         });
    this->hub.setHandler(FrameKind::DemandReport,
                         [this, token = this->alive](const auto &sender, const auto &frame) {
                             if (*token)
                                 this->handleDemandReport(sender, frame);
                         });
    this->hub.addLinkHandler([this, token = this->alive](const auto &peer, bool up) {
        if (*token && up && peer.zone == this->ownZone)
            this->announceAllTo(peer);
    });
}

void ShareRebalancer::adoptConfiguration(std::shared_ptr<const Configuration> accepted)
{
    this->configuration = std::move(accepted);
}

void ShareRebalancer::adoptViews(std::shared_ptr<const FleetViews> fleetViews)
{
    this->views = std::move(fleetViews);
    const auto view = this->views->view(this->ownZone);
    this->recordStore.setWatching(view && !view->members().empty()
                                  && view->members().front().incarnation == this->hub.self());
}

void ShareRebalancer::setRemovedZones(const std::set<QString> &removedZones)
{
    std::erase_if(this->removedSince, [&removedZones](const auto &entry) {
        return removedZones.count(entry.first) == 0;
    });
    for (const QString &zone : removedZones)
        this->removedSince.emplace(zone, this->timers.now());
}

void ShareRebalancer::setTransferPolicy(ShareDecision shareDecision)
{
    this->transferPolicy = std::move(shareDecision);
}

void ShareRebalancer::runRound()
{
    this->recordStore.refresh();
    this->hooks.collectDemands([this, token = this->alive](const std::vector<ItemDemand> &demands) {
        if (*token)
            this->processDemands(demands);
    });
}

void ShareRebalancer::processDemands(const std::vector<ItemDemand> &demands)
{
    this->needsByOwner.clear();
    for (const ItemDemand &demand : demands)
        this->rebalanceItem(demand);
    this->createMissingItems();
    this->recordStore.writeEdits(maxWritesPerRound);
    this->sendNeeds();
}

void ShareRebalancer::rebalanceItem(const ItemDemand &demand)
{
    const SharesByZone *shares = this->recordStore.cache().find(demand.item);
    if (shares == nullptr)
        return;
    const ShareItem item = demand.item;
    this->reclaimRemovedZones(item, *shares);
    if (demand.shareLost) {
        this->recoverLostShare(demand, *shares);
        return;
    }
    const auto own = shares->find(this->ownZone);
    const std::uint64_t recordedGiven = own == shares->end() ? 0 : own->second.counters.given;
    if (demand.drainedGiven > recordedGiven) {
        this->recordStore.addEdit(
                item,
                [item, zone = this->ownZone, epoch = this->ownEpoch(), given = demand.drainedGiven,
                 receiver = this->receiverFor(item, *shares)](ShareRecord &record) {
                    return record.applyTransfer(item, zone, epoch, given, receiver);
                });
    }
    // The next transfer is decided only after the previous one has been written to the record.
    if (demand.share.given == recordedGiven)
        this->decideTransfer(demand, *shares);
    this->reportNeed(demand, *shares);
}

void ShareRebalancer::recoverLostShare(const ItemDemand &demand, const SharesByZone &shares)
{
    // Once the record contains the epoch, no write of an earlier owner can succeed.
    const std::uint64_t epoch = this->ownEpoch();
    const auto own = shares.find(this->ownZone);
    if (own != shares.end() && own->second.epoch == epoch) {
        this->hooks.adoptFencedShare(demand.item, own->second.counters);
        return;
    }
    this->recordStore.addEdit(
            demand.item, [item = demand.item, zone = this->ownZone, epoch](ShareRecord &record) {
                return record.fence(item, zone, epoch);
            });
}

void ShareRebalancer::reclaimRemovedZones(const ShareItem &item, const SharesByZone &shares)
{
    for (const auto &[removedZone, since] : this->removedSince) {
        const auto share = shares.find(removedZone);
        if (share == shares.end() || share->second.counters.parts() == 0
            || this->timers.now() - since < this->reclaimDelay()
            || this->zonesFor(item).front() != this->ownZone)
            continue;
        this->recordStore.addEdit(
                item, [item, zone = removedZone, receiver = this->ownZone](ShareRecord &record) {
                    return record.reclaim(item, zone, receiver);
                });
    }
}

void ShareRebalancer::decideTransfer(const ItemDemand &demand, const SharesByZone &shares)
{
    RebalancingState state{this->ownZone,
                           demand.share.parts(),
                           demand.demandParts,
                           demand.fleetBurstTokens,
                           {},
                           this->needs.needsOf(demand.item, this->timers.now())};
    for (const auto &[zone, share] : shares) {
        if (this->removedSince.count(zone) == 0)
            state.zones.push_back({zone, share.counters.parts()});
    }
    const auto transfer = this->transferPolicy(state);
    if (!transfer)
        return;
    this->metrics.count("lacewingmux_share_gifts_total", {}, 1);
    this->hooks.withdrawParts(demand.item, transfer->parts);
}

void ShareRebalancer::reportNeed(const ItemDemand &demand, const SharesByZone &shares)
{
    if (!this->views || !DemandDrivenShares::hasNeed(demand.demandParts, demand.share.parts()))
        return;
    for (const auto &[zone, share] : shares) {
        if (zone == this->ownZone || share.counters.parts() == 0)
            continue;
        const auto owner = this->views->ownerOf(demand.item.aggregateIn(zone));
        if (owner)
            this->needsByOwner[*owner].push_back(
                    {demand.item, demand.demandParts, demand.share.parts()});
    }
}

void ShareRebalancer::sendNeeds()
{
    for (const auto &[owner, itemNeeds] : this->needsByOwner)
        (void)this->hub.send(owner, {FrameKind::DemandReport, 0, 0, encodeNeeds(itemNeeds)});
}

void ShareRebalancer::createMissingItems()
{
    if (!this->recordStore.isComplete() || !this->configuration || !this->views)
        return;
    for (const ShareItem &item : this->configuredItems()) {
        if (this->recordStore.cache().find(item) != nullptr || !this->owns(item)
            || !this->isCreationDue(item))
            continue;
        const std::vector<QString> itemZones = this->zonesFor(item);
        const std::size_t maxHolders = this->maxHoldersOf(item);
        this->recordStore.addEdit(item, [item, itemZones, maxHolders](ShareRecord &record) {
            if (record.find(item) != nullptr)
                return false;
            record.create(item, itemZones, maxHolders);
            return true;
        });
    }
}

bool ShareRebalancer::isCreationDue(const ShareItem &item)
{
    const auto now = this->timers.now();
    const auto since = this->missingSince.emplace(item, now).first->second;
    return this->zonesFor(item).front() == this->ownZone || now - since >= creationDelay;
}

std::size_t ShareRebalancer::maxHoldersOf(const ShareItem &item) const
{
    // Each holder's share of the burst must be at least one token; a smaller one could never grant
    // a request.
    const Allowance *allowance = item.kind == AggregateKind::TeamAllowance
                                         ? this->configuration->allowanceOf(item.name)
                                         : nullptr;
    return allowance == nullptr
                   ? std::numeric_limits<std::size_t>::max()
                   : static_cast<std::size_t>(std::max(1.0, std::floor(allowance->burstRequests)));
}

std::vector<QString> ShareRebalancer::zonesFor(const ShareItem &item) const
{
    std::set<QString> known(this->zones.begin(), this->zones.end());
    known.insert(this->ownZone);
    if (this->views) {
        for (const auto &[zone, view] : this->views->views())
            known.insert(zone);
    }
    for (const auto &[zone, since] : this->removedSince)
        known.erase(zone);
    std::vector<QString> ordered(known.begin(), known.end());
    const auto rendezvousHash = [&item](const QString &zone) {
        return combineHashes(stableHash(item.name.toUtf8()), stableHash(zone.toUtf8()));
    };
    std::sort(ordered.begin(), ordered.end(),
              [&rendezvousHash](const QString &left, const QString &right) {
                  return rendezvousHash(left) < rendezvousHash(right);
              });
    return ordered;
}

QString ShareRebalancer::receiverFor(const ShareItem &item, const SharesByZone &shares) const
{
    const std::vector<ZoneNeed> itemNeeds = this->needs.needsOf(item, this->timers.now());
    const auto neediest = std::max_element(
            itemNeeds.begin(), itemNeeds.end(), [](const ZoneNeed &left, const ZoneNeed &right) {
                return left.demandParts - static_cast<double>(left.heldParts)
                       < right.demandParts - static_cast<double>(right.heldParts);
            });
    if (neediest != itemNeeds.end())
        return neediest->zone;
    const auto largest =
            std::max_element(shares.begin(), shares.end(), [](const auto &left, const auto &right) {
                return left.second.counters.parts() < right.second.counters.parts();
            });
    return largest == shares.end() ? this->ownZone : largest->first;
}

void ShareRebalancer::handleRecordUpdate(const QByteArray &key, std::int64_t revision,
                                         const QByteArray &value)
{
    this->schedulePublish();
    if (this->recordStore.isWatching())
        this->announce(key, revision, value);
}

void ShareRebalancer::schedulePublish()
{
    if (std::exchange(this->publishScheduled, true))
        return;
    this->timers.post([this, token = this->alive] {
        if (!*token)
            return;
        this->publishScheduled = false;
        this->hooks.publishShares(this->recordStore.cache().tableOf(this->ownZone));
    });
}

void ShareRebalancer::announce(const QByteArray &key, std::int64_t revision,
                               const QByteArray &value)
{
    const auto view = this->views ? this->views->view(this->ownZone) : nullptr;
    if (!view)
        return;
    const PeerFrame frame{FrameKind::ShareAnnouncement, view->epoch(), 0,
                          encodeAnnouncement({key, revision, value})};
    for (const VmDescriptor &member : view->members()) {
        if (!(member.incarnation == this->hub.self()))
            (void)this->hub.send(member.incarnation, frame);
    }
}

void ShareRebalancer::announceAllTo(const VmIncarnation &peer)
{
    if (!this->recordStore.isWatching())
        return;
    for (const auto &[key, entry] : this->recordStore.cache().entries()) {
        (void)this->hub.send(peer, {FrameKind::ShareAnnouncement, this->ownEpoch(), 0,
                                    encodeAnnouncement({key, entry.revision, entry.value})});
    }
}

void ShareRebalancer::handleAnnouncement(const PeerFrame &frame)
{
    const auto announced = decodeAnnouncement(frame.payload);
    if (announced)
        this->recordStore.update(announced->key, announced->revision, announced->value);
}

void ShareRebalancer::handleDemandReport(const VmIncarnation &sender, const PeerFrame &frame)
{
    for (const ItemNeed &need : decodeNeeds(frame.payload))
        this->needs.recordNeed(sender.zone, need, this->timers.now());
}

std::chrono::milliseconds ShareRebalancer::reclaimDelay() const
{
    std::chrono::milliseconds longestCallTimeout{0};
    if (this->configuration) {
        for (const Allowance &allowance : this->configuration->allowances)
            longestCallTimeout = std::max(longestCallTimeout, allowance.callTimeout);
    }
    return powerLease + longestCallTimeout + powerReclaimMargin;
}

std::uint64_t ShareRebalancer::ownEpoch() const
{
    const auto view = this->views ? this->views->view(this->ownZone) : nullptr;
    return view ? view->epoch() : 0;
}

bool ShareRebalancer::owns(const ShareItem &item) const
{
    return this->views->ownerOf(item.aggregateIn(this->ownZone)) == this->hub.self();
}

std::vector<ShareItem> ShareRebalancer::configuredItems() const
{
    std::vector<ShareItem> items;
    for (const TeamPlan &plan : this->configuration->plans)
        items.push_back(ShareItem::team(plan.team));
    if (this->configuration->sitePowerCapWatts > 0)
        items.push_back(ShareItem::power());
    return items;
}

} // namespace lacewingmux
