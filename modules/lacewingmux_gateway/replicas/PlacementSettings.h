#pragma once

#include "lacewingmux_core/settings/FeatureSet.h"

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** Parameters of Placement; costs are estimated milliseconds of latency. */
struct PlacementSettings
{
    FeatureSet features; ///< that are switched on
    /** Round trip between two availability zones, including the billed traffic between them. */
    double crossZoneCost = 6.0;
    /** Latency that a tunnel adds to a call: connecting to the VM in between, its connection to the
        replica, and the longer way; each about a round trip between zones. */
    double tunnelCost = 9.0;
    /** Prompt tokens that an engine processes per millisecond; the lower of two deployments. */
    double promptTokensPerMillisecond = 160.0;
    /** Latency that each running sequence adds to an engine's turn: 256 steps of 0.009 ms. */
    double costPerSequence = 2.4;
    /** Duration of a turn on an idle engine: 256 steps of 1.3 ms. */
    double typicalTurn = 340.0;
    /** Duration of a call on an idle plain service; mean of the tool calls of both deployments. */
    double typicalCall = 25.0;
    /** Fraction of a call that a replica saves if it handled the same object before. */
    double affinitySaving = 0.4;
    /** Weight of a hash of this VM and the replica: VMs prefer different replicas among equals, so
        that they do not all choose the one that looked least loaded in the last reports. */
    double vmBias = 7.0;
    /** Distinguishes this VM from others in that hash. */
    std::uint64_t vmSeed = 0;
    /** How many replicas share a prompt part, as a multiple of its fraction of all turns times the
        number of replicas. */
    double promptSpread = 4.0;
    /** Number of replicas that share even the rarest prompt part. */
    double minimumSharers = 3.0;
    /** How probable it is that one of these replicas has a frequent part in its cache, although
       this VM did not send it there. */
    double spreadCachedProbability = 0.75;
    /** Number of turns with a part after which this VM assumes half of that probability. */
    double turnsUntilHalfAssumed = 3.0;
    /** Cost of a failure that has just occurred. */
    double failureCost = 150.0;
    /** Cost of a rejection that has just occurred. */
    double rejectionCost = 40.0;
    /** Time in which the weight of failures and rejections falls to about a third. */
    std::chrono::milliseconds errorDecayTime{600};
    /** Time in which the weight of a report about other VMs' load falls to about a third. */
    std::chrono::milliseconds loadDecayTime{800};
    /** Time in which the weight of a measured slowdown falls to about a third. */
    std::chrono::milliseconds slowdownDecayTime{4000};
    /** Initial delay before an unreachable replica is retried. */
    std::chrono::milliseconds unreachableBackoff{1000};
    /** How long a replica that announced that it is leaving still gets calls if no other replica
        can take them. */
    std::chrono::milliseconds drainLimit{2000};
    /** How much slower a replica is while it warms up. */
    double warmUpFactor = 1.6;
    /** Maximum number of prompt parts that are tracked, with the replicas that cached them. */
    int maximumPromptParts = 40000;
};

} // namespace lacewingmux
