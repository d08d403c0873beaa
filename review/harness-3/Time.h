#pragma once

#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point startOfRun = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startOfRun).count();
}

inline void sleepFor(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

/** Tells whether the run has its disruption; TROUBLE=0 leaves it out. */
inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
