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
                    this->deliver(sender, frame.correlation, *reply);
            });
    this->giveBackTimer = this->timers.every(giveBackInterval, [this] { this->giveBack(); });
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
    if (team.waiters.empty() && team.pocket.take(now)) {
        this->reportSoon(name, team);
        this->keepStock(name, team);
        callback({true, ErrorKind::RateLimited, std::chrono::milliseconds(0)});
        return;
    }
    team.waiters.push_back({std::move(callback), now + admissionWait});
    if (team.waiters.size() > maxWaitingRequests) {
        const Waiter last = std::move(team.waiters.back());
        team.waiters.pop_back();
        this->refuse(last, name, team);
        return;
    }
    this->pump(name, team);
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

void TeamAdmission::pump(const QString &name, Team &team)
{
    this->admitWaiting(team);
    this->refuseOverdue(name, team);
    if (!team.waiters.empty() && team.openAsks.empty())
        this->askForWaiting(name, team);
    this->reportSoon(name, team);
}

void TeamAdmission::admitWaiting(Team &team)
{
    const Time now = this->timers.now();
    while (!team.waiters.empty() && team.pocket.take(now)) {
        const Waiter waiter = std::move(team.waiters.front());
        team.waiters.pop_front();
        waiter.callback({true, ErrorKind::RateLimited, std::chrono::milliseconds(0)});
    }
}

void TeamAdmission::askForWaiting(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    const std::vector<QString> zones = this->zonesInOrder(name);
    const MicroTokens held = team.pocket.available(now);
    const MicroTokens needed = team.waiters.size() * wholeToken - held;
    const MicroTokens missing = wholeToken - held;
    for (;;) {
        const auto parts = team.estimates.plan(zones, missing, needed, now);
        if (parts.empty())
            break;
        for (const OwnerEstimates::Part &part : parts) {
            if (!this->ask(name, team, part.zone, part.amount))
                team.estimates.noteUnavailable(part.zone, now + wrongOwnerPause);
        }
        if (!team.openAsks.empty())
            return;
    }
    this->refuseWaiting(name, team);
}

bool TeamAdmission::ask(const QString &name, Team &team, const QString &zone, MicroTokens needed)
{
    const MicroTokens stock = zone == this->ownZone ? stockFor(team, this->timers.now()) : 0;
    const auto correlation =
            this->send(name, zone,
                       {name, needed, needed + stock, this->takeArrivals(team, zone),
                        team.pocket.takeSettlements(zone)});
    if (!correlation)
        return false;
    if (team.openAsks.empty())
        team.askTimer =
                this->timers.after(grantAskTimeout, [this, name] { this->handleTimeout(name); });
    team.openAsks.insert(*correlation);
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
    // The tokens expire by this moment, taken before anything is sent.
    this->asks[correlation] = {name, zone, *target, this->timers.now()};
    if (*target == this->hub.self()) {
        this->sendLocally(request, correlation);
        return correlation;
    }
    if (this->hub.send(*target, {FrameKind::GrantRequest, 0, correlation, encode(request)}))
        return correlation;
    this->asks.erase(correlation);
    return std::nullopt;
}

void TeamAdmission::sendLocally(const GrantRequest &request, std::uint64_t correlation)
{
    // Posted, so that a reply never arrives within the call that asked for it.
    this->timers.post([this, token = this->alive, request, correlation] {
        if (!*token)
            return;
        const VmIncarnation self = this->hub.self();
        this->owner.requestGrant(self, request,
                                 [this, token, self, correlation](const auto &reply) {
                                     if (*token)
                                         this->deliver(self, correlation, reply);
                                 });
    });
}

void TeamAdmission::deliver(const VmIncarnation &sender, std::uint64_t correlation,
                            const GrantReply &reply)
{
    const auto found = this->asks.find(correlation);
    if (found == this->asks.end() || !(found->second.owner == sender))
        return;
    const Ask ask = found->second;
    this->asks.erase(found);
    Team &team = this->teams[ask.team];
    team.openAsks.erase(correlation);
    if (team.openAsks.empty())
        team.askTimer.cancel();
    this->noteReply(team, ask, reply);
    this->pump(ask.team, team);
}

void TeamAdmission::noteReply(Team &team, const Ask &ask, const GrantReply &reply)
{
    const Time now = this->timers.now();
    if (reply.outcome != GrantOutcome::Answered) {
        team.estimates.noteUnavailable(ask.zone, now + wrongOwnerPause);
        return;
    }
    team.pocket.add(ask.zone, reply.grantId, reply.granted, ask.sentAt + tokenLifetime, now);
    team.estimates.noteLevel(ask.zone, reply.level, now);
}

void TeamAdmission::handleTimeout(const QString &name)
{
    Team &team = this->teams[name];
    for (const std::uint64_t correlation : std::exchange(team.openAsks, {})) {
        const auto ask = this->asks.find(correlation);
        if (ask != this->asks.end())
            team.estimates.noteUnavailable(ask->second.zone, this->timers.now() + silentOwnerPause);
    }
    this->pump(name, team);
}

void TeamAdmission::refuseWaiting(const QString &name, Team &team)
{
    const std::deque<Waiter> refused = std::exchange(team.waiters, {});
    // Fractions that made no whole token go back at once, for others to add up.
    team.pocket.giveBackExpiring(Time::max(), this->timers.now());
    for (const Waiter &waiter : refused)
        this->refuse(waiter, name, team);
}

void TeamAdmission::refuse(const Waiter &waiter, const QString &name, const Team &team)
{
    const auto wait = team.estimates.untilTokens(this->zonesInOrder(name), 1, this->timers.now());
    AdmissionDecision decision;
    decision.refusal = wait ? ErrorKind::RateLimited : ErrorKind::OwnerUnavailable;
    decision.retryAfter = wait ? *wait : answerFor(ErrorKind::OwnerUnavailable).defaultRetryAfter;
    waiter.callback(decision);
}

void TeamAdmission::refuseOverdue(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    while (!team.waiters.empty() && team.waiters.front().deadline <= now) {
        const Waiter waiter = std::move(team.waiters.front());
        team.waiters.pop_front();
        this->refuse(waiter, name, team);
    }
}

void TeamAdmission::keepStock(const QString &name, Team &team)
{
    const Time now = this->timers.now();
    const MicroTokens stock = stockFor(team, now);
    if (!team.openAsks.empty() || team.pocket.available(now) * 2 >= stock)
        return;
    if (!team.estimates.hasToken(this->ownZone, now))
        return;
    if (!this->ask(name, team, this->ownZone, 0))
        team.estimates.noteUnavailable(this->ownZone, now + wrongOwnerPause);
}

void TeamAdmission::giveBack()
{
    const Time now = this->timers.now();
    for (auto &[name, team] : this->teams) {
        team.pocket.giveBackExpiring(now + giveBackAhead, now);
        this->report(name, team);
        if (team.arrivals > 0)
            (void)this->send(name, this->ownZone,
                             {name, 0, 0, this->takeArrivals(team, this->ownZone), {}});
    }
    this->forgetOldAsks();
}

void TeamAdmission::reportSoon(const QString &name, Team &team)
{
    if (team.reportDue || team.pocket.zonesOwedReports().empty())
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
    for (const QString &zone : team.pocket.zonesOwedReports())
        (void)this->send(
                name, zone,
                {name, 0, 0, this->takeArrivals(team, zone), team.pocket.takeSettlements(zone)});
}

std::uint32_t TeamAdmission::takeArrivals(Team &team, const QString &zone) const
{
    return zone == this->ownZone ? std::exchange(team.arrivals, 0) : 0;
}

void TeamAdmission::forgetOldAsks()
{
    const Time oldest = this->timers.now() - tokenLifetime;
    std::erase_if(this->asks, [oldest](const auto &entry) { return entry.second.sentAt < oldest; });
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
    // Each front starts with another zone, so that borrowers spread.
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

MicroTokens TeamAdmission::stockFor(const Team &team, Time now)
{
    const double seconds = std::chrono::duration<double>(stockAhead).count();
    return static_cast<MicroTokens>(std::floor(team.demand.perSecond(now) * seconds)) * wholeToken;
}

} // namespace lacewingmux
