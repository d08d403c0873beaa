#pragma once

#include <QString>

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux::test {

/** One decision of a gate. */
struct AdmissionEvent
{
    std::chrono::steady_clock::time_point arrivedAt;
    std::chrono::steady_clock::time_point decidedAt;
    QString team;
    bool admitted = false;
    bool rateLimited = false; ///< refused as such; otherwise no owner could be reached
};

/** A team's rate and burst. */
struct BucketLimits
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
};

/** How the decisions about one team compare with one bucket for the whole fleet. */
struct BucketComparison
{
    std::size_t requests = 0;
    std::size_t admitted = 0;
    std::size_t baselineAdmitted = 0; ///< by the one bucket on the same arrivals
    std::size_t wrongful = 0;         ///< refused though a bucket with our admissions had a token
    std::size_t unreachable = 0;      ///< of the refusals, those without any owner
};

/**
    Returns by how many requests the fullest window exceeds burst + rate * length, over every
    window between two admissions; at most 0 when the limits hold. Events in order of decision.
*/
double largestExcess(const std::vector<AdmissionEvent> &events, const QString &team,
                     const BucketLimits &limits);

/** Compares the decisions with a single token bucket. Events in order of decision. */
BucketComparison compareWithBucket(const std::vector<AdmissionEvent> &events, const QString &team,
                                   const BucketLimits &limits);

} // namespace lacewingmux::test
