#pragma once

#include "callers/CallKind.h"
#include "lacewingmux_core/time/TimerService.h"
#include "plan/PlanStep.h"

#include <QByteArray>
#include <QJsonObject>

#include <chrono>
#include <random>
#include <vector>

namespace lacewingmux::soak {

/** The operators' configuration and its versions. */
class SoakConfiguration
{
public:
    explicit SoakConfiguration(std::uint32_t seed);

    /** Makes the next version. */
    void change(Change what);

    /** Notes that the store has accepted the version. */
    void noteWritten(TimerService::SteadyTime now);

    /** Returns the document of the version. */
    [[nodiscard]] QByteArray document() const;

    /** Returns the shortest timeout of the kind's route that may have been in force at a moment of
        the span. */
    [[nodiscard]] std::chrono::milliseconds shortestTimeout(CallKind kind,
                                                            TimerService::SteadyTime begin,
                                                            TimerService::SteadyTime end) const;

private:
    struct Version
    {
        TimerService::SteadyTime writtenAt;
        std::chrono::milliseconds streamTimeout{0};
    };

    [[nodiscard]] QJsonObject route(CallKind kind) const;
    [[nodiscard]] QJsonObject service(const QByteArray &name) const;
    [[nodiscard]] std::chrono::milliseconds timeoutOf(CallKind kind,
                                                      std::chrono::milliseconds stream) const;
    [[nodiscard]] int draw(int least, int most);

    std::mt19937 random;
    int version = 1;
    std::chrono::milliseconds idleTimeout{6000};
    std::chrono::milliseconds streamTimeout{5000};
    bool streamsAreExchanged = false; ///< the two stream routes lead to each other's service
    int addedRoutes = 1;
    std::vector<Version> written;
};

} // namespace lacewingmux::soak
