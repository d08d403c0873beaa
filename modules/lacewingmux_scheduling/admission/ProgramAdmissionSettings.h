#pragma once

#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** Parameters of ProgramAdmission. */
struct ProgramAdmissionSettings
{
    /** A program's target completion time as a multiple of its time on idle replicas. */
    double targetRatio = 1.5;
    /** Multiple of the target after which a completed program is worth nothing. */
    double uselessRatio = 2.0;
    /** Turns that a new program waits for, as a multiple of those that wait when it arrives: turns
        of programs in progress overtake it. In a replayed burst, 0.9 to 3.3 for new programs behind
        12 to 27 waiting turns; lower values reject later. */
    double overtakingRatio = 2.0;
    /** Age up to which a load report counts. */
    std::chrono::milliseconds maximumReportAge{2000};
    /** Shortest time after which a rejected caller may return. */
    std::chrono::milliseconds minimumRetryDelay{50};
    /** How far from now a rejected caller's return may lie for its place to count against others;
        the place is dropped once the return is overdue by this time. About the time of one turn:
        most callers return to another VM, and the queue is another one later on. */
    std::chrono::milliseconds returnWindow{500};
    /** Maximum number of rejected callers that keep their place. */
    std::size_t maximumPlaces = 512;
};

} // namespace lacewingmux
