#pragma once

#include <chrono>

namespace lacewingmux {

/** Weights of Placement, as expected milliseconds of the caller's time. */
struct PlacementSettings
{
    /** Both ways between two availability zones, with the bytes that are billed between them. */
    double otherZoneCost = 6.0;
    /** Prompt tokens that an engine reads in a millisecond; the lower of the two deployments. */
    double promptTokensPerMillisecond = 160.0;
    /** What one more running sequence adds to a turn of an engine: 256 steps of 0.009 ms. */
    double costPerSequence = 2.4;
    /** A turn on an idle engine: 256 steps of 1.3 ms. */
    double typicalTurn = 340.0;
    /** A call on an idle plain service; the mean of the tool calls of both deployments. */
    double typicalCall = 25.0;
    /** Part of a call that a replica saves when it handled the same object before. */
    double warmSaving = 0.4;
    /** Bias by which VMs that know nothing yet agree on a replica for a prompt. */
    double agreementBias = 3.0;
    /** What a failure that was seen just now counts. */
    double failureCost = 150.0;
    /** What a rejection that was seen just now counts. */
    double rejectionCost = 40.0;
    /** Time in which the memory of failures and rejections falls to a third. */
    std::chrono::milliseconds troubleMemory{600};
    /** Time in which what a replica told of the other VMs' load falls to a third. */
    std::chrono::milliseconds loadMemory{800};
    /** Time in which a replica that was slow is given the benefit of the doubt again. */
    std::chrono::milliseconds paceMemory{4000};
    /** How long a replica that can't be reached is left alone. */
    std::chrono::milliseconds unreachablePause{1000};
    /** How much slower a replica is right after its start. */
    double coldFactor = 1.6;
    /** How many prompt parts are remembered, with the replicas that read them. */
    int rememberedParts = 40000;
};

} // namespace lacewingmux
