#include "lacewingmux_scheduling/replicas/ReplicaPace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewingmux {

namespace {

using Milliseconds = ReplicaPace::Milliseconds;

// A reported pace changes many times a second.
constexpr Milliseconds momentaryTime{100};
// A front of a large deployment gets a response of each replica every few seconds only.
constexpr Milliseconds learningTime{15000};
// A replica that gets no work because it was slow must be tried again, but not by every call.
constexpr Milliseconds forgettingTime{30000};
constexpr double maximumSamples = 16; // after which older ones count less, also under high load
constexpr int maximumReports = 8;     // likewise, in the mean of the reported pace
constexpr double priorWeight = 1;     // of the median, in responses
constexpr double minimumMultiple = 0.25;
constexpr double maximumMultiple = 8.0;

double decayFactor(ReplicaPace::SteadyTime now, ReplicaPace::SteadyTime since,
                   Milliseconds timeConstant)
{
    const Milliseconds age = now - since;
    return std::exp(-std::max(0.0, age / timeConstant));
}

std::size_t indexOf(ReplicaWork work)
{
    return static_cast<std::size_t>(work);
}

} // namespace

void ReplicaPace::Samples::decay(double factor)
{
    this->weight *= factor;
    this->amount *= factor;
    this->milliseconds *= factor;
}

double ReplicaPace::Samples::unitDuration() const
{
    return this->milliseconds / this->amount;
}

void ReplicaPace::remove(const QByteArray &replica)
{
    if (!this->replicas.remove(replica))
        return;
    for (const ReplicaWork work : {ReplicaWork::Reading, ReplicaWork::Writing})
        this->medians[indexOf(work)] = this->median(work);
}

void ReplicaPace::recordReport(const QByteArray &replica, std::int64_t startMilliseconds,
                               int hundredths, SteadyTime measured)
{
    Replica &known = this->replicas[replica];
    if (known.startMilliseconds > startMilliseconds)
        return;
    if (known.startMilliseconds < startMilliseconds) {
        known = {};
        known.startMilliseconds = startMilliseconds;
    }
    if (known.reports > 0 && measured < known.measured)
        return;
    // One extreme report would otherwise dominate the mean of the reports that follow it.
    known.pace = std::clamp(hundredths / 100.0, minimumMultiple, maximumMultiple);
    known.measured = measured;
    known.reports = std::min(known.reports + 1, maximumReports);
    known.meanPace += (known.pace - known.meanPace) / known.reports;
}

void ReplicaPace::recordWork(const QByteArray &replica, std::int64_t startMilliseconds,
                             ReplicaWork work, double amount, Milliseconds duration, SteadyTime now)
{
    const auto found = this->replicas.find(replica);
    if (found == this->replicas.end() || found->startMilliseconds != startMilliseconds
        || amount <= 0 || duration.count() <= 0)
        return;
    Samples &samples = found->samples[indexOf(work)];
    samples.decay(
            std::min(decayFactor(now, samples.updated, learningTime), 1.0 - 1.0 / maximumSamples));
    samples.weight += 1;
    samples.amount += amount;
    samples.milliseconds += duration.count();
    samples.updated = now;
    this->medians[indexOf(work)] = this->median(work);
}

bool ReplicaPace::hasReported(const QByteArray &replica, std::int64_t startMilliseconds) const
{
    const auto found = this->replicas.constFind(replica);
    return found != this->replicas.cend() && found->startMilliseconds == startMilliseconds;
}

double ReplicaPace::learnedDuration(const QByteArray &replica, ReplicaWork work,
                                    SteadyTime now) const
{
    const auto found = this->replicas.constFind(replica);
    if (found == this->replicas.cend())
        return 1.0;
    const Samples &samples = found->samples[indexOf(work)];
    if (samples.weight <= 0)
        return 1.0;
    const double confidence = samples.weight / (samples.weight + priorWeight)
                              * decayFactor(now, samples.updated, forgettingTime);
    const double multiple = std::clamp(samples.unitDuration() / this->medians[indexOf(work)],
                                       minimumMultiple, maximumMultiple);
    return 1.0 + (multiple - 1.0) * confidence;
}

Milliseconds ReplicaPace::momentaryDelay(const QByteArray &replica, Milliseconds duration,
                                         SteadyTime now) const
{
    const auto found = this->replicas.constFind(replica);
    if (found == this->replicas.cend())
        return Milliseconds(0);
    // After a slow phase the mean is too high for a while: a negative deviation is the return to
    // the usual pace, and would attract the calls of all VMs.
    const double deviation = std::max(0.0, found->pace / found->meanPace - 1.0)
                             * decayFactor(now, found->measured, momentaryTime);
    // The deviation goes on to fall while the work runs; this is its integral.
    return deviation * momentaryTime * (1.0 - std::exp(-(duration / momentaryTime)));
}

std::size_t ReplicaPace::learnedReplicas() const
{
    return static_cast<std::size_t>(
            std::count_if(this->replicas.cbegin(), this->replicas.cend(), [](const Replica &known) {
                return std::any_of(known.samples.begin(), known.samples.end(),
                                   [](const Samples &samples) { return samples.weight > 0; });
            }));
}

double ReplicaPace::median(ReplicaWork work) const
{
    std::vector<double> durations;
    durations.reserve(static_cast<std::size_t>(this->replicas.size()));
    for (const Replica &known : this->replicas) {
        const Samples &samples = known.samples[indexOf(work)];
        if (samples.weight > 0)
            durations.push_back(samples.unitDuration());
    }
    if (durations.empty())
        return 0;
    const auto middle = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
    std::nth_element(durations.begin(), middle, durations.end());
    if (durations.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(durations.begin(), middle)) / 2;
}

} // namespace lacewingmux
