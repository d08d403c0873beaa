#include "lacewingmux_allowance/admission/ZonePowerBudget.h"

#include "lacewingmux_allowance/aggregates/PowerTimes.h"
#include "lacewingmux_allowance/messages/GrantCodec.h"
#include "lacewingmux_allowance/owner/AllowanceOwner.h"
#include "lacewingmux_allowance/shares/ShareItem.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds maxReservationWait{250};
constexpr std::chrono::milliseconds requestTimeout{200};
constexpr std::chrono::milliseconds refreshInterval{100};
constexpr std::chrono::milliseconds renewInterval = powerLease / 3;

/**
    Extra power to request, as a fraction of the sum of the power in use and that of the waiting
    reservations.
*/
constexpr double prefetchFraction = 0.1;

/** Tolerates rounding errors in sums of watts. */
constexpr double wattTolerance = 1e-6;

} // namespace

ZonePowerBudget::ZonePowerBudget(PeerHub &trafficHub, AllowanceOwner &ownAllowances,
                                 TimerService &timerService)
    : hub(trafficHub)
    , owner(ownAllowances)
    , timers(timerService)
    , alive(std::make_shared<bool>(true))
{
    this->hub.setHandler(FrameKind::PowerReply,
                         [this, token = this->alive](const auto &sender, const auto &frame) {
                             const auto reply = decodePowerReply(frame.payload);
                             if (*token && reply)
                                 this->handleReply(sender, *reply);
                         });
    this->refreshTimer = this->timers.every(refreshInterval, [this] { this->refresh(); });
}

ZonePowerBudget::~ZonePowerBudget()
{
    *this->alive = false;
}

void ZonePowerBudget::reserve(double watts, Callback callback)
{
    if (this->configuration && this->configuration->sitePowerCapWatts <= 0) {
        callback(PowerReservation(0, nullptr));
        return;
    }
    if (this->waitingReservations.empty() && this->canStart(watts)) {
        callback(this->makeReservation(watts));
        return;
    }
    this->waitingReservations.push_back(
            {watts, std::move(callback), this->timers.now() + maxReservationWait});
    if (!this->unansweredRequest)
        this->sendPowerRequest((this->inUseWatts + this->waitingWatts()) * (1 + prefetchFraction));
}

void ZonePowerBudget::adoptConfiguration(std::shared_ptr<const Configuration> accepted)
{
    this->configuration = std::move(accepted);
}

void ZonePowerBudget::adoptViews(std::shared_ptr<const FleetViews> fleetViews)
{
    this->views = std::move(fleetViews);
}

double ZonePowerBudget::wattsInUse() const noexcept
{
    return this->inUseWatts;
}

bool ZonePowerBudget::canStart(double watts) const
{
    return this->leaseEndsAt && this->timers.now() < *this->leaseEndsAt
           && this->inUseWatts + watts <= this->usableWatts + wattTolerance;
}

PowerReservation ZonePowerBudget::makeReservation(double watts)
{
    this->inUseWatts += watts;
    return {watts, [this, token = this->alive](double released) {
                if (*token)
                    this->release(released);
            }};
}

double ZonePowerBudget::waitingWatts() const
{
    double total = 0;
    for (const WaitingReservation &waiting : this->waitingReservations)
        total += waiting.watts;
    return total;
}

void ZonePowerBudget::release(double watts)
{
    this->inUseWatts = std::max(0.0, this->inUseWatts - watts);
    this->serveWaiting();
}

void ZonePowerBudget::serveWaiting()
{
    while (!this->waitingReservations.empty()
           && this->canStart(this->waitingReservations.front().watts)) {
        const WaitingReservation waiting = std::move(this->waitingReservations.front());
        this->waitingReservations.pop_front();
        waiting.callback(this->makeReservation(waiting.watts));
    }
}

void ZonePowerBudget::refuseWaiting(bool overdueOnly)
{
    const Time now = this->timers.now();
    while (!this->waitingReservations.empty()
           && (!overdueOnly || this->waitingReservations.front().deadline <= now)) {
        const WaitingReservation waiting = std::move(this->waitingReservations.front());
        this->waitingReservations.pop_front();
        waiting.callback(std::nullopt);
    }
}

void ZonePowerBudget::sendPowerRequest(double totalWatts)
{
    const AggregateId aggregate = ShareItem::power().aggregateIn(this->hub.self().zone);
    const auto target = this->views ? this->views->ownerOf(aggregate) : std::nullopt;
    const PowerRequest request{++this->lastRequestNumber, totalWatts};
    // A reduction takes effect here before the owner can receive the request.
    this->usableWatts = std::min(this->usableWatts, totalWatts);
    this->unansweredRequest = SentPowerRequest{request.sequence, this->timers.now()};
    if (!target)
        return;
    if (!(*target == this->hub.self())) {
        (void)this->hub.send(*target,
                             {FrameKind::PowerRequest, 0, request.sequence, encode(request)});
        return;
    }
    // Posted, so that the reply never arrives during the call that sends the request.
    this->timers.post([this, token = this->alive, self = *target, request] {
        if (!*token)
            return;
        this->owner.requestPower(self, request, [this, token, self](const PowerReply &reply) {
            if (*token)
                this->handleReply(self, reply);
        });
    });
}

void ZonePowerBudget::handleReply(const VmIncarnation &, const PowerReply &reply)
{
    if (!this->unansweredRequest || reply.sequence != this->unansweredRequest->sequence)
        return;
    const SentPowerRequest request = *this->unansweredRequest;
    this->unansweredRequest.reset();
    if (reply.outcome == GrantOutcome::NotOwner)
        return;
    this->usableWatts = reply.grantedWatts;
    this->leaseEndsAt = request.sentAt + powerLease;
    this->serveWaiting();
    // The owner can grant no more now, as its share of the cap is used up or blocked after a loss,
    // so reservations that the grant doesn't cover are refused at once.
    this->refuseWaiting(false);
}

void ZonePowerBudget::refresh()
{
    const Time now = this->timers.now();
    this->refuseWaiting(true);
    if (this->unansweredRequest && now - this->unansweredRequest->sentAt < requestTimeout)
        return;
    const double needed = (this->inUseWatts + this->waitingWatts()) * (1 + prefetchFraction);
    const bool hasWaiting = !this->waitingReservations.empty();
    const bool unanswered = this->unansweredRequest.has_value();
    const bool renewalDue = this->leaseEndsAt
                            && now >= *this->leaseEndsAt - powerLease + renewInterval
                            && (this->usableWatts > 0 || this->inUseWatts > 0);
    const bool surplus = this->usableWatts > needed + wattTolerance;
    if (hasWaiting || unanswered || renewalDue || surplus)
        this->sendPowerRequest(needed);
}

} // namespace lacewingmux
