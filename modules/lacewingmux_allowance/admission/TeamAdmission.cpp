#include "lacewingmux_allowance/admission/TeamAdmission.h"

#include "lacewingmux_allowance/admission/AdmissionTimes.h"
#include "lacewingmux_allowance/aggregates/TokenTimes.h"
#include "lacewingmux_allowance/messages/GrantCodec.h"
#include "lacewingmux_allowance/owner/AllowanceOwner.h"
#include "lacewingmux_allowance/shares/ShareItem.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds demandDecayTime{1000};

} // namespace

TeamAdmission::Team::Team()
    : demand(demandDecayTime)
{ }

TeamAdmission::TeamAdmission(PeerHub &trafficHub, AllowanceOwner &ownAllowances,
                             TimerService &timerService, MetricsRecorder &metricsRecorder)
    : hub(trafficHub)
    , owner(ownAllowances)
    , timers(timerService)
    , metrics(metricsRecorder)
    , ownZone(trafficHub.self().zone)
    , alive(std::make_shared<bool>(true))
{
    this->hub.setHandler(
            FrameKind::GrantReply,
            [this, token = this->alive](const VmIncarnation &sender, const PeerFrame &frame) {
                const auto reply = decodeGrantReply(frame.payload);
                if (*token && reply)
                    this->handleReply(sender, frame.correlation, *reply);
            });
    this->returnTimer =
            this->timers.every(returnInterval, [this] { this->returnExpiringTokens(); });
}

TeamAdmission::~TeamAdmission()
{
    *this->alive = false;
}

void TeamAdmission::admit(const QString &name, Callback callback)
{
    if (!this->configuration || this->configuration->allowanceOf(name) == nullptr) {
        callback({false, ErrorKind::NotPermitted, std::chrono::milliseconds(0)});
        return;
    }
    const Time now = this->timers.now();
    Team &team = this->teams[name];
    team.demand.add(1, now);
    ++team.arrivals;
    if (team.waitingRequests.empty() && team.tokenCache.take(now)) {
        this->reportSoon(name, team);
        this->prefetchTokens(name, team);
        callback({true, ErrorKind::RateLimited, std::chrono::milliseconds(0)});
        return;
    }
    team.waitingRequests.push_back({std::move(callback), now + maxAdmissionWait});
    if (team.waitingRequests.size() > maxWaitingRequests) {
        const WaitingRequest last = std::move(team.waitingRequests.back());
        team.waitingRequests.pop_back();
        this->refuse(last, name, team);
        return;
    }
    this->processQueue(name, team);
}

void TeamAdmission::adoptConfiguration(std::shared_ptr<const Configuration> accepted)
{
    this->configuration = std::move(accepted);
}

void TeamAdmission::adoptViews(std::shared_ptr<const FleetViews> fleetViews)
{
    this->views = std::move(fleetViews);
}

void TeamAdmission::setBorrowing(bool allowed)
{
    this->borrowing = allowed;
}

void TeamAdmission::processQueue(const QString &name, Team &team)
{
    this->admitWaiting(team);
    this->refuseOverdue(name, team);
    if (!team.waitingRequests.empty() && team.awaitedReplies.empty())
        this->requestForWaiting(name, team);
    this->reportSoon(name, team);
}

void TeamAdmission::admitWaiting(Team &team)
{
    const Time now = this->timers.now();
    while (!team.waitingRequests.empty() && team.tokenCache.take(now)) {
        const WaitingRequest waiting = std::move(team.waitingRequests.front());
        team.waitingRequests.pop_front();
        waiting.callback({true, ErrorKind::RateLimited, std::chrono::milliseconds(0)});
    }
}

void TeamAdmission::requestForWaiting(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    const std::vector<QString> zones = this->zonesInOrder(name);
    const MicroTokens held = team.tokenCache.available(now);
    const MicroTokens needed = team.waitingRequests.size() * microTokensPerToken - held;
    const MicroTokens missing = microTokensPerToken - held;
    for (;;) {
        const auto plannedRequests = team.estimates.planRequests(zones, missing, needed, now);
        if (plannedRequests.empty())
            break;
        for (const OwnerEstimates::PlannedRequest &planned : plannedRequests) {
            if (!this->requestTokens(name, team, planned.zone, planned.amount))
                team.estimates.markUnavailable(planned.zone, now + notOwnerBackoff);
        }
        if (!team.awaitedReplies.empty())
            return;
    }
    this->refuseWaiting(name, team);
}

bool TeamAdmission::requestTokens(const QString &name, Team &team, const QString &zone,
                                  MicroTokens needed)
{
    const MicroTokens prefetch =
            zone == this->ownZone ? prefetchAmount(team, this->timers.now()) : 0;
    const auto correlation =
            this->send(name, zone,
                       {name, needed, needed + prefetch, this->takeArrivals(team, zone),
                        team.tokenCache.takeSettlements(zone)});
    if (!correlation)
        return false;
    if (team.awaitedReplies.empty())
        team.replyTimer = this->timers.after(grantRequestTimeout,
                                             [this, name] { this->handleTimeout(name); });
    team.awaitedReplies.insert(*correlation);
    return true;
}

std::optional<std::uint64_t> TeamAdmission::send(const QString &name, const QString &zone,
                                                 const GrantRequest &request)
{
    const auto target = this->views ? this->views->ownerOf(ShareItem::team(name).aggregateIn(zone))
                                    : std::nullopt;
    if (!target)
        return std::nullopt;
    const std::uint64_t correlation = this->nextCorrelation++;
    // The token lifetime counts from this time, which is taken before the request is sent.
    this->sentRequests[correlation] = {name, zone, *target, this->timers.now()};
    if (*target == this->hub.self()) {
        this->sendLocally(request, correlation);
        return correlation;
    }
    if (this->hub.send(*target, {FrameKind::GrantRequest, 0, correlation, encode(request)}))
        return correlation;
    this->sentRequests.erase(correlation);
    return std::nullopt;
}

void TeamAdmission::sendLocally(const GrantRequest &request, std::uint64_t correlation)
{
    // Posted, so that the reply never arrives during the call that sends the request.
    this->timers.post([this, token = this->alive, request, correlation] {
        if (!*token)
            return;
        const VmIncarnation self = this->hub.self();
        this->owner.requestGrant(self, request,
                                 [this, token, self, correlation](const auto &reply) {
                                     if (*token)
                                         this->handleReply(self, correlation, reply);
                                 });
    });
}

void TeamAdmission::handleReply(const VmIncarnation &sender, std::uint64_t correlation,
                                const GrantReply &reply)
{
    const auto found = this->sentRequests.find(correlation);
    if (found == this->sentRequests.end() || !(found->second.owner == sender))
        return;
    const SentRequest sentRequest = found->second;
    this->sentRequests.erase(found);
    Team &team = this->teams[sentRequest.team];
    team.awaitedReplies.erase(correlation);
    if (team.awaitedReplies.empty())
        team.replyTimer.cancel();
    this->applyReply(team, sentRequest, reply);
    this->processQueue(sentRequest.team, team);
}

void TeamAdmission::applyReply(Team &team, const SentRequest &sentRequest, const GrantReply &reply)
{
    const Time now = this->timers.now();
    if (reply.outcome != GrantOutcome::Answered) {
        team.estimates.markUnavailable(sentRequest.zone, now + notOwnerBackoff);
        return;
    }
    team.tokenCache.add(sentRequest.zone, reply.grantId, reply.granted,
                        sentRequest.sentAt + tokenLifetime, now);
    team.estimates.recordLevel(sentRequest.zone, reply.level, now);
}

void TeamAdmission::handleTimeout(const QString &name)
{
    Team &team = this->teams[name];
    for (const std::uint64_t correlation : std::exchange(team.awaitedReplies, {})) {
        const auto sentRequest = this->sentRequests.find(correlation);
        if (sentRequest != this->sentRequests.end())
            team.estimates.markUnavailable(sentRequest->second.zone,
                                           this->timers.now() + unresponsiveOwnerBackoff);
    }
    this->processQueue(name, team);
}

void TeamAdmission::refuseWaiting(const QString &name, Team &team)
{
    const std::deque<WaitingRequest> refused = std::exchange(team.waitingRequests, {});
    // Fractions of a token are returned at once, so that other fronts can use them.
    team.tokenCache.returnExpiring(Time::max(), this->timers.now());
    for (const WaitingRequest &waiting : refused)
        this->refuse(waiting, name, team);
}

void TeamAdmission::refuse(const WaitingRequest &waiting, const QString &name, const Team &team)
{
    const auto wait = team.estimates.untilTokens(this->zonesInOrder(name), 1, this->timers.now());
    AdmissionDecision decision;
    decision.refusal = wait ? ErrorKind::RateLimited : ErrorKind::OwnerUnavailable;
    decision.retryAfter = wait ? *wait : answerFor(ErrorKind::OwnerUnavailable).defaultRetryAfter;
    waiting.callback(decision);
}

void TeamAdmission::refuseOverdue(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    while (!team.waitingRequests.empty() && team.waitingRequests.front().deadline <= now) {
        const WaitingRequest waiting = std::move(team.waitingRequests.front());
        team.waitingRequests.pop_front();
        this->refuse(waiting, name, team);
    }
}

void TeamAdmission::prefetchTokens(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    const MicroTokens prefetch = prefetchAmount(team, now);
    if (!team.awaitedReplies.empty() || team.tokenCache.available(now) * 2 >= prefetch)
        return;
    if (!team.estimates.hasToken(this->ownZone, now))
        return;
    if (!this->requestTokens(name, team, this->ownZone, 0))
        team.estimates.markUnavailable(this->ownZone, now + notOwnerBackoff);
}

void TeamAdmission::returnExpiringTokens()
{
    const Time now = this->timers.now();
    for (auto &[name, team] : this->teams) {
        team.tokenCache.returnExpiring(now + returnHorizon, now);
        this->report(name, team);
        if (team.arrivals > 0)
            (void)this->send(name, this->ownZone,
                             {name, 0, 0, this->takeArrivals(team, this->ownZone), {}});
    }
    this->dropExpiredRequests();
}

void TeamAdmission::reportSoon(const QString &name, Team &team)
{
    if (team.reportDue || team.tokenCache.zonesWithSettlements().empty())
        return;
    team.reportDue = true;
    team.reportTimer = this->timers.after(reportDelay, [this, name] {
        Team &reported = this->teams[name];
        reported.reportDue = false;
        this->report(name, reported);
    });
}

void TeamAdmission::report(const QString &name, Team &team)
{
    for (const QString &zone : team.tokenCache.zonesWithSettlements())
        (void)this->send(name, zone,
                         {name, 0, 0, this->takeArrivals(team, zone),
                          team.tokenCache.takeSettlements(zone)});
}

std::uint32_t TeamAdmission::takeArrivals(Team &team, const QString &zone) const
{
    return zone == this->ownZone ? std::exchange(team.arrivals, 0) : 0;
}

void TeamAdmission::dropExpiredRequests()
{
    const Time oldest = this->timers.now() - tokenLifetime;
    std::erase_if(this->sentRequests,
                  [oldest](const auto &entry) { return entry.second.sentAt < oldest; });
}

std::vector<QString> TeamAdmission::zonesInOrder(const QString &name) const
{
    std::vector<QString> zones;
    if (!this->views)
        return zones;
    if (this->borrowing) {
        for (const auto &[zone, view] : this->views->views()) {
            if (zone != this->ownZone)
                zones.push_back(zone);
        }
    }
    // The order differs by VM and team, which distributes borrowing over the zones.
    const auto weight = [this, &name](const QString &zone) {
        return combineHashes(stableHash((name + this->hub.self().vm).toUtf8()),
                             stableHash(zone.toUtf8()));
    };
    std::sort(zones.begin(), zones.end(), [&weight](const QString &left, const QString &right) {
        return weight(left) < weight(right);
    });
    zones.insert(zones.begin(), this->ownZone);
    return zones;
}

MicroTokens TeamAdmission::prefetchAmount(const Team &team, Time now)
{
    const double seconds = std::chrono::duration<double>(prefetchHorizon).count();
    return static_cast<MicroTokens>(std::floor(team.demand.perSecond(now) * seconds))
           * microTokensPerToken;
}

} // namespace lacewingmux
