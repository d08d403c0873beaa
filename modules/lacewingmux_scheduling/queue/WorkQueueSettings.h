#pragma once

namespace lacewingmux {

/** Parameters of WorkQueue. */
struct WorkQueueSettings
{
    /** How much attained service one second of waiting makes up for. Higher is closer to
        first come, first served; 0 starves long programs. */
    double ageingTokensPerSecond = 1000;

    /** Whether teams share the replicas by weight; without, all items compete as one team. */
    bool fairBetweenTeams = true;

    /** Whether programs that attained less service go first; without, a team's items go in the
        order of their arrival. */
    bool leastAttainedFirst = true;
};

} // namespace lacewingmux
