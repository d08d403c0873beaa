#include "lacewingmux_report/burn/BurnReport.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_report/burn/ObjectiveLookup.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr double pageBurn = 14.4;
constexpr double fastTicketBurn = 6;
constexpr double slowTicketBurn = 1;

enum WindowIndex : std::uint8_t { FiveMinutes, OneHour, SixHours, ThreeDays };

double burnRate(std::uint64_t bad, std::uint64_t all, double objective)
{
    if (all == 0)
        return 0;
    const double badShare = static_cast<double>(bad) / static_cast<double>(all);
    return badShare / (1 - objective);
}

using Rates = std::array<double, burnWindowCount>;

BurnAlert alertFor(const Rates &rates)
{
    if (rates[OneHour] >= pageBurn && rates[FiveMinutes] >= pageBurn)
        return BurnAlert::Page;
    if (rates[SixHours] >= fastTicketBurn && rates[OneHour] >= fastTicketBurn)
        return BurnAlert::Ticket;
    if (rates[ThreeDays] >= slowTicketBurn && rates[SixHours] >= slowTicketBurn)
        return BurnAlert::Ticket;
    return BurnAlert::None;
}

std::uint64_t countFrom(const QJsonObject &window, const char *field)
{
    const qint64 value = window.value(QLatin1String(field)).toInteger(-1);
    if (value < 0)
        throw LacewingmuxError(
                ErrorKind::MalformedRequest,
                QStringLiteral("burn counts: %1 is not a count").arg(QLatin1String(field)));
    return static_cast<std::uint64_t>(value);
}

double worstBurn(const BurnRow &row)
{
    return std::max(*std::max_element(row.availabilityBurn.begin(), row.availabilityBurn.end()),
                    *std::max_element(row.latencyBurn.begin(), row.latencyBurn.end()));
}

} // namespace

void BurnReport::add(const QJsonArray &countsOfVm)
{
    for (const QJsonValue value : countsOfVm) {
        const QJsonObject object = value.toObject();
        const QJsonObject windows = object.value(QStringLiteral("windows")).toObject();
        Entry &entry = this->entryFor(object.value(QStringLiteral("team")).toString(),
                                      object.value(QStringLiteral("route")).toString());
        for (std::size_t index = 0; index < burnWindowCount; ++index) {
            const QJsonObject window =
                    windows.value(QLatin1String(burnWindows[index].name)).toObject();
            entry.counts[index] +=
                    BurnCounts{countFrom(window, "requests"), countFrom(window, "failed"),
                               countFrom(window, "slow")};
        }
    }
}

std::vector<BurnRow> BurnReport::rows(const Configuration &configuration) const
{
    std::vector<BurnRow> rows;
    for (const Entry &entry : this->entries) {
        const ServiceLevelObjective *objective =
                objectiveFor(configuration, entry.team, entry.route);
        if (objective == nullptr)
            continue;

        BurnRow row;
        row.team = entry.team;
        row.route = entry.route;
        row.plan = objective->plan;
        row.availabilityObjective = objective->availability;
        row.latencyObjective = objective->latencyShare;
        row.counts = entry.counts;
        for (std::size_t index = 0; index < burnWindowCount; ++index) {
            const BurnCounts &counts = entry.counts[index];
            row.availabilityBurn[index] =
                    burnRate(counts.failed, counts.requests, objective->availability);
            row.latencyBurn[index] =
                    burnRate(counts.slow, counts.requests - counts.failed, objective->latencyShare);
        }
        row.alert = std::max(alertFor(row.availabilityBurn), alertFor(row.latencyBurn));
        rows.push_back(row);
    }
    std::sort(rows.begin(), rows.end(), [](const BurnRow &left, const BurnRow &right) {
        return left.alert != right.alert ? left.alert > right.alert
                                         : worstBurn(left) > worstBurn(right);
    });
    return rows;
}

BurnReport::Entry &BurnReport::entryFor(const QString &team, const QString &route)
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&team, &route](const Entry &entry) {
                                        return entry.team == team && entry.route == route;
                                    });
    if (found != this->entries.end())
        return *found;
    this->entries.push_back(Entry{team, route, {}});
    return this->entries.back();
}

} // namespace lacewingmux
