#pragma once

#include <cstdint>

namespace lacewingmux {

/** Parameters of ReplicaChooser. */
struct ReplicaChooserSettings
{
    /** Cost, in prefill tokens, of a replica loaded to its full capacity compared with an idle
        one. */
    std::int64_t fullLoadPenaltyTokens = 2000;

    /** How far the load of a prefix holder may exceed the pool's mean, as a fraction of its
        capacity. */
    double affinityLoadMargin = 0.4;

    /** Whether the holder of the program's prefix is preferred. */
    bool prefixAffinity = true;

    /** Whether a load report is corrected by the calls of this VM that started or ended since. */
    bool correctReports = true;

    /** Whether two replicas are drawn at random. If false, the least loaded one is taken, and VMs
        with the same reports overload it. */
    bool twoChoices = true;

    /** Whether a VM below its equal share of the pool may load replicas beyond their capacity. */
    bool guaranteedShare = true;
};

} // namespace lacewingmux
