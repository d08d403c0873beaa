#pragma once

namespace lacewingmux {

/** Parameters of WorkQueue. */
struct WorkQueueSettings
{
    /** Attained service, in tokens, that one second of waiting offsets. Higher values are closer
        to first come, first served; 0 lets short programs starve long ones. */
    double ageingTokensPerSecond = 1000;

    /** Whether teams share the replicas by weight. If false, all items compete as one team. */
    bool fairBetweenTeams = true;

    /** Whether programs that attained less service go first. If false, a team's items are served
        in order of arrival. */
    bool leastAttainedFirst = true;
};

} // namespace lacewingmux
