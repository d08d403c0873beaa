#pragma once

#include "lacewingmux_report/burn/BurnHistory.h"

#include <QJsonArray>
#include <QString>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>

namespace lacewingmux {

class Configuration;
struct ServiceLevelObjective;

/** How one request of a caller ended, as far as objectives care. */
struct ServedRequest
{
    QString team;
    QString route;
    bool failed = false; ///< refused or failed through no fault of the caller
    std::chrono::milliseconds latency{0};
    std::chrono::system_clock::time_point ended;
};

/**
    Judges each request of this VM against the objective of its team's plan and keeps the counts.

    Bounded: past the maximum of pairs of team and route, further pairs count under the team with
    the route "other", and past twice the maximum they are not kept. Single-threaded.
*/
class BurnRecorder
{
public:
    explicit BurnRecorder(std::size_t maximumPairs = defaultMaximumPairs);

    /** Takes the objectives of a new revision; earlier counts stay as they were judged. */
    void setConfiguration(std::shared_ptr<const Configuration> newConfiguration);

    /** Judges and counts one request. A team without an objective is not counted. */
    void record(const ServedRequest &request);

    /** Returns [{"team", "route", "windows": {"5m": {"requests", "failed", "slow"}, …}}]. */
    [[nodiscard]] QJsonArray toJson(std::chrono::system_clock::time_point now) const;

    /** Pairs of team and route that fit in 8 MB. */
    static constexpr std::size_t defaultMaximumPairs = 512;

private:
    struct Pair
    {
        QString team;
        QString route;

        friend bool operator<(const Pair &left, const Pair &right) noexcept
        {
            return left.team != right.team ? left.team < right.team : left.route < right.route;
        }
    };

    [[nodiscard]] BurnHistory *historyFor(const ServedRequest &request);

    std::size_t pairLimit;
    std::shared_ptr<const Configuration> configuration;
    std::map<Pair, std::unique_ptr<BurnHistory>> histories;
};

} // namespace lacewingmux
