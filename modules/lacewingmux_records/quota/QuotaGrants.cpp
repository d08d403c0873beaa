#include "lacewingmux_records/quota/QuotaGrants.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Less than the interval between the members' requests, whose answers renew the lease.
constexpr milliseconds leaseRetryDelay{100};
// Entry VMs with unmet demand ask again well within this time.
constexpr milliseconds contenderMemory{1000};
// Replicas that name limits come and go, so their buckets are not kept for ever.
constexpr std::chrono::seconds holdingRetention{120};

} // namespace

QuotaGrants::QuotaGrants(const VmIncarnation &self, FloorWriter floorWriter)
    : writeFloor(std::move(floorWriter))
    , ownLease(self)
{ }

void QuotaGrants::restoreFloor(const QByteArray &team, double tokens)
{
    this->storedFloors[team] = tokens;
}

void QuotaGrants::setView(const RecordsView &view, SteadyTime now)
{
    this->ownLease.setView(view, now);
    this->placement = QuotaPlacement(view);
}

TeamGrantMessage QuotaGrants::grant(const VmIncarnation &entryVm, const TeamDemandMessage &demand,
                                    std::uint64_t configurationVersion, SteadyTime now)
{
    TeamGrantMessage reply;
    reply.team = demand.team;
    reply.retryAfter = leaseRetryDelay;
    this->discardAfterTakeover(now);
    Holding &holding = this->holdingOf(demand.team, now);
    holding.lastAsked = now;
    if (configurationVersion >= holding.configurationVersion) {
        holding.configurationVersion = configurationVersion;
        holding.requestsPerSecond = demand.requestsPerSecond;
        holding.burst = demand.burst;
    }
    reply.isHolder = this->refresh(demand.team, holding, now);
    if (!reply.isHolder)
        return reply;
    reply.granted = holding.bucket.take(demand.wanted, demand.reserve, now);
    reply.retryAfter = holding.bucket.untilNext(demand.reserve, now);
    if (reply.granted < demand.wanted)
        holding.contenders[entryVm] = now;
    else
        holding.contenders.erase(entryVm);
    reply.contenders = std::max(1, countContenders(holding, now));
    if (const std::optional<double> lower = holding.bucket.lowerFloor(now))
        this->writeFloor(demand.team, *lower, [this, team = demand.team, tokens = *lower] {
            const auto lowered = this->holdings.find(team);
            if (lowered != this->holdings.end())
                lowered->bucket.setFloor(tokens);
        });
    return reply;
}

void QuotaGrants::update(SteadyTime now)
{
    this->ownLease.update(now);
    this->discardAfterTakeover(now);
    this->removeUnused(now);
    for (auto holding = this->holdings.begin(); holding != this->holdings.end(); ++holding)
        this->refresh(holding.key(), *holding, now);
    if (!this->ownLease.isHeld(now))
        return;
    // A floor is valid only for parts that this VM held when it stopped and holds again.
    for (auto floor = this->storedFloors.begin(); floor != this->storedFloors.end();) {
        const std::vector<VmIncarnation> &ranking = this->placement.ranking(floor.key());
        const bool held = this->ownLease.share(ranking, QuotaPlacement::usualParts, now) > 0;
        floor = held ? std::next(floor) : this->storedFloors.erase(floor);
    }
}

void QuotaGrants::raiseFloors(SteadyTime now)
{
    for (auto holding = this->holdings.begin(); holding != this->holdings.end(); ++holding) {
        if (!this->refresh(holding.key(), *holding, now))
            continue;
        if (const std::optional<double> higher = holding->bucket.raiseFloor(now))
            this->writeFloor(holding.key(), *higher, nullptr);
    }
}

QuotaGrants::Holding &QuotaGrants::holdingOf(const QByteArray &team, SteadyTime now)
{
    auto holding = this->holdings.find(team);
    if (holding == this->holdings.end()) {
        // Without a lease, or if the lease has just changed, nothing has accrued yet.
        const SteadyTime heldSince =
                this->ownLease.isHeld(now) ? this->ownLease.unchangedSince() : now;
        holding = this->holdings.insert(
                team,
                {QuotaTokenBucket(this->storedFloors.take(team), heldSince), 0, 0, 0, {}, now});
    }
    return *holding;
}

bool QuotaGrants::refresh(const QByteArray &team, Holding &holding, SteadyTime now)
{
    const double share = this->ownLease.share(
            this->placement.ranking(team),
            QuotaPlacement::parts(holding.requestsPerSecond, holding.burst), now);
    if (share > 0) {
        holding.bucket.setShare(holding.requestsPerSecond * share, holding.burst * share, now);
        return true;
    }
    // Without a lease the tokens are kept, as the next answers may renew it.
    if (this->ownLease.isHeld(now) && holding.bucket.discard(now))
        this->writeFloor(team, 0, nullptr);
    return false;
}

void QuotaGrants::discardAfterTakeover(SteadyTime now)
{
    if (std::exchange(this->leaseGeneration, this->ownLease.generation())
        == this->ownLease.generation())
        return;
    LogEvent(LogSeverity::Info, "quotaTokensDiscarded")
            .field("reason", "another records VM may have granted them")
            .field("teams", static_cast<qint64>(this->holdings.size()));
    this->storedFloors.clear();
    for (auto holding = this->holdings.begin(); holding != this->holdings.end(); ++holding) {
        if (holding->bucket.discard(now))
            this->writeFloor(holding.key(), 0, nullptr);
    }
}

void QuotaGrants::removeUnused(SteadyTime now)
{
    this->holdings.removeIf([this, now](const auto &holding) {
        if (!isUnused(*holding, now))
            return false;
        if (holding->bucket.discard(now))
            this->writeFloor(holding.key(), 0, nullptr);
        return true;
    });
}

bool QuotaGrants::isUnused(const Holding &holding, SteadyTime now)
{
    const std::chrono::duration<double> unused = now - holding.lastAsked;
    return unused > holdingRetention && holding.requestsPerSecond * unused.count() > holding.burst;
}

int QuotaGrants::countContenders(Holding &holding, SteadyTime now)
{
    std::erase_if(holding.contenders,
                  [now](const auto &entry) { return now - entry.second > contenderMemory; });
    return static_cast<int>(holding.contenders.size());
}

} // namespace lacewingmux
