#pragma once

#include <QString>

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux::test {

/** One decision of an admission gate. */
struct AdmissionEvent
{
    std::chrono::steady_clock::time_point arrivedAt;
    std::chrono::steady_clock::time_point decidedAt;
    QString team;
    bool admitted = false;
    bool rateLimited = false; ///< rejected by the rate limit, not for want of an owner
};

/** A team's rate and burst limits. */
struct BucketLimits
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
};

/** Compares the decisions about one team with a single bucket for the whole fleet. */
struct BucketComparison
{
    std::size_t requests = 0;
    std::size_t admitted = 0;
    std::size_t baselineAdmitted = 0; ///< by the single bucket for the same arrivals
    std::size_t wrongful = 0;    ///< rejected though a bucket debited by our admissions had a token
    std::size_t unreachable = 0; ///< rejections because no owner was reachable
};

/**
    Returns the largest number of requests by which any window between two admissions exceeds
    burst + rate * length; at most 0 when the limits hold. Events must be in order of decision.
*/
double largestExcess(const std::vector<AdmissionEvent> &events, const QString &team,
                     const BucketLimits &limits);

/** Compares the decisions with a single token bucket. Events must be in order of decision. */
BucketComparison compareWithBucket(const std::vector<AdmissionEvent> &events, const QString &team,
                                   const BucketLimits &limits);

} // namespace lacewingmux::test
