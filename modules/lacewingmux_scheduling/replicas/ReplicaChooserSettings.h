#pragma once

#include <cstdint>

namespace lacewingmux {

/** Parameters of ReplicaChooser. */
struct ReplicaChooserSettings
{
    /** Tokens of prefill that weigh as much as a replica full to its capacity against an idle
        one. */
    std::int64_t fullLoadPenaltyTokens = 2000;

    /** How much more than the pool's mean load the holder of a prefix may have, as a part of
        its capacity. */
    double affinityLoadMargin = 0.4;

    /** Whether the holder of the program's prefix is preferred. */
    bool prefixAffinity = true;

    /** Whether own calls that started or ended since the report correct it. */
    bool correctReports = true;

    /** Whether two replicas are drawn at random; without, the least loaded is taken, and VMs with
        the same reports pile onto it. */
    bool twoChoices = true;

    /** Whether a VM below its even part of the pool may go beyond a replica's capacity. */
    bool guaranteedShare = true;
};

} // namespace lacewingmux
