#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <map>
#include <optional>
#include <set>

namespace lacewingmux {

/**
    The zones that are evacuated at the operators' request, and when evacuations ended.

    Reads no clock: the current time is a parameter.
*/
class EvacuatedZones
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Sets the zones that are evacuated now. */
    void set(std::set<QByteArray> zones, SteadyTime now);

    /** Returns whether the zone is evacuated. */
    [[nodiscard]] bool contains(const QByteArray &zone) const;

    /** Returns when the last evacuation of the zone ended, or nothing if the zone is evacuated now
        or never was. */
    [[nodiscard]] std::optional<SteadyTime> endedAt(const QByteArray &zone) const;

private:
    std::set<QByteArray> current;
    std::map<QByteArray, SteadyTime> ends; ///< by zone; of zones that are not evacuated now
};

} // namespace lacewingmux
