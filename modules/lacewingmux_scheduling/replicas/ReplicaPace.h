#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/replicas/ReplicaWork.h"

#include <QByteArray>
#include <QHash>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/**
    How long work takes on the replicas of one service.

    Two measures with different lifetimes are kept for each replica. The momentary pace is what the
    replica reports about its machine; it changes many times a second, so its weight falls to a
    third within 100 ms, and it applies only to work that starts now. The learned duration is
    measured on the replica's own responses, as a multiple of the median of the service's replicas,
    so that no site-specific speed has to be configured.

    A learned duration already contains the replica's usual pace. The momentary pace is therefore
    taken relative to the mean of the replica's reports, whether or not these include the speed of
    its hardware. All values belong to one start of a replica. Reads no clock: the current time is
    a parameter.
*/
class ReplicaPace
{
public:
    using SteadyTime = TimerService::SteadyTime;
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Removes a replica, because it left. */
    void remove(const QByteArray &replica);

    /** Records the pace that a replica reported, in hundredths of the usual time; a report that
        was measured before the last one is ignored. Values of an earlier start (Unix time in
        milliseconds) of the replica are discarded. */
    void recordReport(const QByteArray &replica, std::int64_t startMilliseconds, int hundredths,
                      SteadyTime measured);

    /** Records how long the replica took for an amount of work (tokens, events or calls). Ignored
        for a replica that has sent no report since this start. */
    void recordWork(const QByteArray &replica, std::int64_t startMilliseconds, ReplicaWork work,
                    double amount, Milliseconds duration, SteadyTime now);

    /** Returns whether no known replica has reported a pace. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return this->replicas.isEmpty();
    }

    /** Returns whether the replica has reported a pace since this start. */
    [[nodiscard]] bool hasReported(const QByteArray &replica, std::int64_t startMilliseconds) const;

    /** Returns whether any replica of the service has reported a pace. */
    [[nodiscard]] bool hasReports() const noexcept
    {
        return !this->replicas.isEmpty();
    }

    /** Returns the learned duration of work on the replica as a multiple of the service's median;
        1 if nothing is known. It approaches 1 while the replica gets no work, so that a replica
        that was slow is tried again. */
    [[nodiscard]] double learnedDuration(const QByteArray &replica, ReplicaWork work,
                                         SteadyTime now) const;

    /** Returns how much longer work that starts now takes because of the machine's momentary
        pace; never negative, because a pace below the mean of the reports may only mean that a slow
        phase has ended. The duration is that of the work at the replica's usual pace. */
    [[nodiscard]] Milliseconds momentaryDelay(const QByteArray &replica, Milliseconds duration,
                                              SteadyTime now) const;

    /** Returns the number of replicas with a learned duration of any work. */
    [[nodiscard]] std::size_t learnedReplicas() const;

private:
    /** Sums over the last responses, each weighted less the older it is. */
    struct Samples
    {
        double weight = 0;
        double amount = 0;
        double milliseconds = 0;
        SteadyTime updated;

        void decay(double factor);
        [[nodiscard]] double unitDuration() const;
    };

    static constexpr std::size_t workKinds = 2;

    struct Replica
    {
        std::int64_t startMilliseconds = 0;
        double pace = 1.0; ///< last report, as a multiple of the usual time
        SteadyTime measured;
        double meanPace = 1.0;
        int reports = 0; ///< in the mean, up to the maximum
        std::array<Samples, workKinds> samples;
    };

    [[nodiscard]] double median(ReplicaWork work) const;

    QHash<QByteArray, Replica> replicas;
    std::array<double, workKinds> medians{}; ///< milliseconds per unit; 0 if unknown
};

} // namespace lacewingmux
