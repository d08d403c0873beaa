#include "lacewingmux_allowance/owner/AllowanceOwner.h"

#include "lacewingmux_allowance/aggregates/PowerTimes.h"
#include "lacewingmux_allowance/aggregates/TokenTimes.h"
#include "lacewingmux_allowance/messages/GrantCodec.h"
#include "lacewingmux_allowance/shares/ShareTable.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds demandDecayTime{20000};
constexpr std::chrono::milliseconds reclaimInterval{1000};

RateAndBurst limitsOf(const Configuration *configuration, const QString &team)
{
    const Allowance *allowance =
            configuration == nullptr ? nullptr : configuration->allowanceOf(team);
    if (allowance == nullptr)
        return {};
    return {allowance->requestsPerSecond, allowance->burstRequests};
}

} // namespace

AllowanceOwner::AllowanceOwner(Journal &ownJournal, PeerHub &trafficHub, TimerService &timerService,
                               MetricsRecorder &metricsRecorder)
    : journal(ownJournal)
    , hub(trafficHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , zone(trafficHub.self().zone)
    , batch(ownJournal, timerService)
    , alive(std::make_shared<bool>(true))
{
    this->registerHandlers();
    this->reclaimTimer = this->timers.every(reclaimInterval, [this] { this->reclaimPower(); });
}

AllowanceOwner::~AllowanceOwner()
{
    *this->alive = false;
}

void AllowanceOwner::registerHandlers()
{
    this->hub.setHandler(FrameKind::GrantRequest,
                         [this, token = this->alive](const auto &sender, const auto &frame) {
                             if (*token)
                                 this->handleGrantRequest(sender, frame);
                         });
    this->hub.setHandler(FrameKind::PowerRequest,
                         [this, token = this->alive](const auto &sender, const auto &frame) {
                             if (*token)
                                 this->handlePowerRequest(sender, frame);
                         });
    this->journal.addActivationHandler(
            [this, token = this->alive](SlotIndex slot, const auto &records) {
                if (*token)
                    this->activate(slot, records);
            });
    this->journal.addDeactivationHandler([this, token = this->alive](SlotIndex slot) {
        if (*token)
            this->deactivate(slot);
    });
}

void AllowanceOwner::adoptConfiguration(std::shared_ptr<const Configuration> accepted)
{
    if (this->configuration && accepted->revision < this->configuration->revision)
        return;
    this->configuration = std::move(accepted);
    for (const Allowance &allowance : this->configuration->allowances)
        this->longestCallTimeout = std::max(this->longestCallTimeout, allowance.callTimeout);
    for (auto &[team, owned] : this->teams)
        this->applyLimitsAndShare(team, owned);
    if (this->power)
        this->applyLimitsAndShare(*this->power);
}

void AllowanceOwner::adoptViews(std::shared_ptr<const FleetViews> fleetViews)
{
    this->views = std::move(fleetViews);
    this->updateHolderPresence();
}

void AllowanceOwner::adoptShares(std::shared_ptr<const ShareTable> shareTable)
{
    this->shares = std::move(shareTable);
    for (auto &[team, owned] : this->teams)
        this->applyLimitsAndShare(team, owned);
    if (this->power)
        this->applyLimitsAndShare(*this->power);
}

void AllowanceOwner::requestGrant(const VmIncarnation &front, const GrantRequest &request,
                                  GrantCallback callback)
{
    OwnedTeam *owned = this->ownedTeam(request.team);
    if (owned == nullptr) {
        callback({GrantOutcome::NotOwner, 0, 0, {}});
        return;
    }
    const Time now = this->timers.now();
    if (front.zone == this->zone)
        owned->demand.add(request.arrivals, now);
    for (const Settlement &settlement : request.settlements)
        owned->allowance.settle(settlement.grantId, settlement.unused, now);
    if (!owned->allowance.share().isKnown()) {
        callback({GrantOutcome::NoShare, 0, 0, {}});
        return;
    }
    const TokenGrant grant = owned->allowance.grant(request.needed, request.wanted, now);
    const RateAndBurst limits = owned->allowance.limits();
    const GrantReply reply{
            GrantOutcome::Answered,
            grant.id,
            grant.amount,
            {owned->allowance.level(now), limits.tokensPerSecond, limits.burstTokens}};
    if (grant.amount == 0) {
        callback(reply);
        return;
    }
    this->commit(ShareItem::team(request.team),
                 [reply, callback = std::move(callback)](bool committed) {
                     callback(committed ? reply : GrantReply{GrantOutcome::NotOwner, 0, 0, {}});
                 });
}

void AllowanceOwner::requestPower(const VmIncarnation &holder, const PowerRequest &request,
                                  PowerCallback callback)
{
    const PowerReply refusal{GrantOutcome::NotOwner, request.sequence, 0};
    const auto view = this->views ? this->views->view(this->zone) : nullptr;
    OwnedPower *owned = view && view->contains(holder) ? this->ownedPower() : nullptr;
    if (owned == nullptr) {
        callback(refusal);
        return;
    }
    const double watts = owned->allowance.request(holder, request.sequence, request.totalWatts,
                                                  this->timers.now());
    owned->unmetWatts = std::max(0.0, request.totalWatts - watts);
    const PowerReply reply{owned->allowance.share().isKnown() ? GrantOutcome::Answered
                                                              : GrantOutcome::NoShare,
                           request.sequence, watts};
    this->commit(ShareItem::power(),
                 [reply, refusal, callback = std::move(callback)](bool committed) {
                     callback(committed ? reply : refusal);
                 });
}

void AllowanceOwner::withdrawParts(const ShareItem &item, std::uint64_t parts)
{
    std::uint64_t given = 0;
    if (item.kind == AggregateKind::TeamAllowance) {
        OwnedTeam *owned = this->ownedTeam(item.name);
        if (owned == nullptr || owned->shareLost)
            return;
        owned->allowance.withdrawParts(parts, this->timers.now());
        given = owned->allowance.share().counters().given;
    } else {
        OwnedPower *owned = this->ownedPower();
        if (owned == nullptr || owned->shareLost)
            return;
        owned->allowance.withdrawParts(parts);
        given = owned->allowance.share().counters().given;
    }
    this->commit(item, [this, item, given](bool committed) {
        if (committed)
            this->startDraining(item, given);
    });
}

void AllowanceOwner::adoptFencedShare(const ShareItem &item, const ShareCounters &recorded)
{
    const Time now = this->timers.now();
    if (item.kind == AggregateKind::TeamAllowance) {
        OwnedTeam *owned = this->ownedTeam(item.name);
        if (owned == nullptr || !owned->shareLost)
            return;
        owned->shareLost = false;
        owned->drainedGiven = recorded.given;
        owned->allowance.mergeShare(recorded, now);
    } else if (OwnedPower *owned = this->ownedPower(); owned != nullptr && owned->shareLost) {
        owned->shareLost = false;
        owned->drainedGiven = recorded.given;
        owned->allowance.mergeShare(recorded);
    }
}

std::vector<ItemDemand> AllowanceOwner::demands()
{
    this->finishDrained();
    std::vector<ItemDemand> result;
    if (!this->shares)
        return result;
    for (const auto &[item, counters] : this->shares->countersByItem) {
        if (item.kind == AggregateKind::TeamAllowance) {
            if (const OwnedTeam *owned = this->ownedTeam(item.name); owned != nullptr)
                result.push_back(this->demandOf(item.name, *owned));
        } else if (const OwnedPower *owned = this->ownedPower(); owned != nullptr) {
            result.push_back(this->demandOf(*owned));
        }
    }
    return result;
}

void AllowanceOwner::activate(SlotIndex slot, const std::vector<AggregateRecord> &records)
{
    this->deactivate(slot);
    const bool complete = this->journal.status(slot) == SlotStatus::Active;
    for (const AggregateRecord &record : records) {
        if (record.id.zone() == this->zone && !record.entries.empty())
            this->recover(record, complete);
    }
}

void AllowanceOwner::recover(const AggregateRecord &record, bool complete)
{
    const Time now = this->timers.now();
    const QString name = record.id.name();
    if (record.id.kind() == AggregateKind::TeamAllowance) {
        auto allowance = complete ? TeamAllowance::recovered(record.entries.back(),
                                                             this->firstGrantId(), now)
                                  : std::nullopt;
        const bool lost = !allowance;
        OwnedTeam owned{lost ? TeamAllowance::afterLoss(this->firstGrantId(), now)
                             : std::move(*allowance),
                        DecayingRate(demandDecayTime), 0, lost};
        this->applyLimitsAndShare(name, owned);
        if (!lost)
            this->startDraining(ShareItem::team(name), owned.allowance.share().counters().given);
        this->teams.insert_or_assign(name, std::move(owned));
    } else if (record.id.kind() == AggregateKind::PowerAllowance) {
        auto allowance = complete ? PowerAllowance::recovered(record.entries.back()) : std::nullopt;
        const bool lost = !allowance;
        OwnedPower owned{lost ? PowerAllowance::afterLoss(now + this->powerHoldTime())
                              : std::move(*allowance),
                         0, 0, lost};
        this->applyLimitsAndShare(owned);
        if (!lost)
            this->startDraining(ShareItem::power(), owned.allowance.share().counters().given);
        this->power.emplace(std::move(owned));
        this->updateHolderPresence();
    }
}

void AllowanceOwner::deactivate(SlotIndex slot)
{
    std::erase_if(this->teams, [this, slot](const auto &entry) {
        return ShareItem::team(entry.first).aggregateIn(this->zone).slot() == slot;
    });
    if (ShareItem::power().aggregateIn(this->zone).slot() == slot)
        this->power.reset();
    std::erase_if(this->drainingTransfers, [this, slot](const DrainingTransfer &transfer) {
        return transfer.item.aggregateIn(this->zone).slot() == slot;
    });
}

bool AllowanceOwner::owns(const AggregateId &aggregate, bool &complete) const
{
    const SlotStatus status = this->journal.status(aggregate.slot());
    complete = status == SlotStatus::Active;
    return complete || status == SlotStatus::ActiveIncomplete;
}

AllowanceOwner::OwnedTeam *AllowanceOwner::ownedTeam(const QString &team)
{
    bool complete = false;
    if (!this->owns(ShareItem::team(team).aggregateIn(this->zone), complete))
        return nullptr;
    const auto found = this->teams.find(team);
    if (found != this->teams.end())
        return &found->second;
    if (limitsOf(this->configuration.get(), team) == RateAndBurst())
        return nullptr;
    const Time now = this->timers.now();
    OwnedTeam owned{complete ? TeamAllowance::fresh(this->firstGrantId(), now)
                             : TeamAllowance::afterLoss(this->firstGrantId(), now),
                    DecayingRate(demandDecayTime), 0, !complete};
    this->applyLimitsAndShare(team, owned);
    return &this->teams.emplace(team, std::move(owned)).first->second;
}

AllowanceOwner::OwnedPower *AllowanceOwner::ownedPower()
{
    bool complete = false;
    if (!this->owns(ShareItem::power().aggregateIn(this->zone), complete))
        return nullptr;
    if (!this->power) {
        this->power.emplace(OwnedPower{
                complete ? PowerAllowance()
                         : PowerAllowance::afterLoss(this->timers.now() + this->powerHoldTime()),
                0, 0, !complete});
        this->applyLimitsAndShare(*this->power);
    }
    return &*this->power;
}

void AllowanceOwner::applyLimitsAndShare(const QString &team, OwnedTeam &owned) const
{
    const Time now = this->timers.now();
    owned.allowance.setFleetLimits(limitsOf(this->configuration.get(), team), now);
    const ShareCounters *counters =
            this->shares ? this->shares->find(ShareItem::team(team)) : nullptr;
    if (counters != nullptr && !owned.shareLost)
        owned.allowance.mergeShare(*counters, now);
}

void AllowanceOwner::applyLimitsAndShare(OwnedPower &owned) const
{
    if (this->configuration)
        owned.allowance.setCap(this->configuration->sitePowerCapWatts);
    const ShareCounters *counters = this->shares ? this->shares->find(ShareItem::power()) : nullptr;
    if (counters != nullptr && !owned.shareLost)
        owned.allowance.mergeShare(*counters);
}

void AllowanceOwner::commit(const ShareItem &item, CommitBatch::Callback callback)
{
    this->batch.commit(
            item.aggregateIn(this->zone), [this, item] { return this->entryOf(item); },
            std::move(callback));
}

QByteArray AllowanceOwner::entryOf(const ShareItem &item) const
{
    if (item.kind == AggregateKind::PowerAllowance)
        return this->power ? this->power->allowance.toEntry() : QByteArray();
    const auto found = this->teams.find(item.name);
    return found == this->teams.end() ? QByteArray() : found->second.allowance.toEntry();
}

void AllowanceOwner::startDraining(const ShareItem &item, std::uint64_t given)
{
    if (given > 0)
        this->drainingTransfers.push_back({item, given, this->timers.now() + tokenOutstandingTime});
}

void AllowanceOwner::finishDrained()
{
    const Time now = this->timers.now();
    const auto due = std::stable_partition(
            this->drainingTransfers.begin(), this->drainingTransfers.end(),
            [now](const DrainingTransfer &transfer) { return transfer.drainedAt > now; });
    for (auto transfer = due; transfer != this->drainingTransfers.end(); ++transfer) {
        if (transfer->item.kind == AggregateKind::PowerAllowance && this->power) {
            this->power->drainedGiven = std::max(this->power->drainedGiven, transfer->given);
            continue;
        }
        const auto owned = this->teams.find(transfer->item.name);
        if (owned != this->teams.end())
            owned->second.drainedGiven = std::max(owned->second.drainedGiven, transfer->given);
    }
    this->drainingTransfers.erase(due, this->drainingTransfers.end());
}

ItemDemand AllowanceOwner::demandOf(const QString &team, const OwnedTeam &owned) const
{
    const RateAndBurst fleetLimits = limitsOf(this->configuration.get(), team);
    const double used = owned.demand.perSecond(this->timers.now());
    ItemDemand demand;
    demand.item = ShareItem::team(team);
    demand.demandParts =
            fleetLimits.tokensPerSecond > 0 ? used / fleetLimits.tokensPerSecond * partsPerItem : 0;
    demand.fleetBurstTokens = fleetLimits.burstTokens;
    demand.share = owned.allowance.share().counters();
    demand.drainedGiven = owned.drainedGiven;
    demand.shareLost = owned.shareLost;
    return demand;
}

ItemDemand AllowanceOwner::demandOf(const OwnedPower &owned) const
{
    const double cap = this->configuration ? this->configuration->sitePowerCapWatts : 0;
    const double used = owned.allowance.heldWatts() + owned.unmetWatts;
    ItemDemand demand;
    demand.item = ShareItem::power();
    demand.demandParts = cap > 0 ? used / cap * partsPerItem : 0;
    demand.share = owned.allowance.share().counters();
    demand.drainedGiven = owned.drainedGiven;
    demand.shareLost = owned.shareLost;
    return demand;
}

void AllowanceOwner::updateHolderPresence()
{
    const auto view = this->views ? this->views->view(this->zone) : nullptr;
    if (!view || !this->power)
        return;
    for (const VmIncarnation &holder : this->power->allowance.holders()) {
        if (view->contains(holder))
            this->power->allowance.markPresent(holder);
        else
            this->power->allowance.markDeparted(holder, this->timers.now());
    }
}

void AllowanceOwner::reclaimPower()
{
    if (this->power)
        (void)this->power->allowance.reclaimDeparted(this->powerHoldTime(), this->timers.now());
}

std::uint64_t AllowanceOwner::firstGrantId() const
{
    const auto moment = static_cast<std::uint64_t>(this->timers.now().time_since_epoch().count());
    return combineHashes(stableHash(this->hub.self().toString().toUtf8()), moment);
}

std::chrono::milliseconds AllowanceOwner::powerHoldTime() const
{
    return powerLease + this->longestCallTimeout + powerReclaimMargin;
}

void AllowanceOwner::handleGrantRequest(const VmIncarnation &sender, const PeerFrame &frame)
{
    const auto request = decodeGrantRequest(frame.payload);
    if (!request)
        return;
    this->requestGrant(
            sender, *request,
            [this, sender, correlation = frame.correlation](const GrantReply &reply) {
                this->hub.send(sender, {FrameKind::GrantReply, 0, correlation, encode(reply)});
            });
}

void AllowanceOwner::handlePowerRequest(const VmIncarnation &sender, const PeerFrame &frame)
{
    const auto request = decodePowerRequest(frame.payload);
    if (!request)
        return;
    this->requestPower(
            sender, *request,
            [this, sender, correlation = frame.correlation](const PowerReply &reply) {
                this->hub.send(sender, {FrameKind::PowerReply, 0, correlation, encode(reply)});
            });
}

} // namespace lacewingmux
