#include "allowance/support/AdmissionEvents.h"

#include <algorithm>
#include <limits>

namespace lacewingmux::test {

namespace {

using Time = std::chrono::steady_clock::time_point;

double secondsOf(Time moment)
{
    return std::chrono::duration<double>(moment.time_since_epoch()).count();
}

/** The baseline: a single bucket for the whole fleet, without distribution. */
class SingleBucket
{
public:
    explicit SingleBucket(const BucketLimits &bucketLimits)
        : limits(bucketLimits)
        , level(bucketLimits.burstTokens)
    { }

    bool hasToken(Time now)
    {
        this->accrue(now);
        return this->level >= 1 - 1e-9;
    }

    void debit(Time now)
    {
        this->accrue(now);
        this->level -= 1;
    }

private:
    void accrue(Time now)
    {
        if (this->updated != Time())
            this->level = std::min(this->limits.burstTokens,
                                   this->level
                                           + this->limits.tokensPerSecond
                                                     * (secondsOf(now) - secondsOf(this->updated)));
        this->updated = now;
    }

    BucketLimits limits;
    double level;
    Time updated;
};

} // namespace

double largestExcess(const std::vector<AdmissionEvent> &events, const QString &team,
                     const BucketLimits &limits)
{
    double lowestStart = std::numeric_limits<double>::max();
    double largest = -limits.burstTokens;
    double admittedBefore = 0;
    for (const AdmissionEvent &event : events) {
        if (!event.admitted || event.team != team)
            continue;
        const double accrued = limits.tokensPerSecond * secondsOf(event.decidedAt);
        lowestStart = std::min(lowestStart, admittedBefore - accrued);
        admittedBefore += 1;
        largest = std::max(largest, admittedBefore - accrued - lowestStart - limits.burstTokens);
    }
    return largest;
}

BucketComparison compareWithBucket(const std::vector<AdmissionEvent> &events, const QString &team,
                                   const BucketLimits &limits)
{
    BucketComparison result;
    SingleBucket replayed(limits);
    std::vector<Time> arrivals;
    for (const AdmissionEvent &event : events) {
        if (event.team != team)
            continue;
        ++result.requests;
        arrivals.push_back(event.arrivedAt);
        if (event.admitted) {
            ++result.admitted;
            replayed.debit(event.decidedAt);
        } else {
            result.wrongful += replayed.hasToken(event.decidedAt) ? 1 : 0;
            result.unreachable += event.rateLimited ? 0 : 1;
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    SingleBucket baseline(limits);
    for (const Time arrival : arrivals) {
        if (!baseline.hasToken(arrival))
            continue;
        baseline.debit(arrival);
        ++result.baselineAdmitted;
    }
    return result;
}

} // namespace lacewingmux::test
