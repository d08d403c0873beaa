#include "lacewingmux_report/burn/BurnRecorder.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_report/burn/BurnWindow.h"
#include "lacewingmux_report/burn/ObjectiveLookup.h"

#include <QJsonObject>

namespace lacewingmux {

namespace {

QJsonObject countsToJson(const BurnCounts &counts)
{
    return QJsonObject{{QStringLiteral("requests"), static_cast<qint64>(counts.requests)},
                       {QStringLiteral("failed"), static_cast<qint64>(counts.failed)},
                       {QStringLiteral("slow"), static_cast<qint64>(counts.slow)}};
}

} // namespace

BurnRecorder::BurnRecorder(std::size_t maximumPairs)
    : pairLimit(maximumPairs)
{ }

void BurnRecorder::setConfiguration(std::shared_ptr<const Configuration> newConfiguration)
{
    this->configuration = std::move(newConfiguration);
}

void BurnRecorder::record(const ServedRequest &request)
{
    if (!this->configuration)
        return;
    const ServiceLevelObjective *objective =
            objectiveFor(*this->configuration, request.team, request.route);
    if (objective == nullptr)
        return;
    BurnHistory *history = this->historyFor(request);
    if (history == nullptr)
        return;

    const bool slow = !request.failed && request.latency > objective->latency;
    history->add(request.ended, BurnCounts{1, request.failed ? 1ULL : 0ULL, slow ? 1ULL : 0ULL});
}

QJsonArray BurnRecorder::toJson(std::chrono::system_clock::time_point now) const
{
    QJsonArray result;
    for (const auto &[pair, history] : this->histories) {
        QJsonObject windows;
        for (const BurnWindow &window : burnWindows)
            windows.insert(QLatin1String(window.name),
                           countsToJson(history->sum(now, window.length)));
        result.append(QJsonObject{{QStringLiteral("team"), pair.team},
                                  {QStringLiteral("route"), pair.route},
                                  {QStringLiteral("windows"), windows}});
    }
    return result;
}

BurnHistory *BurnRecorder::historyFor(const ServedRequest &request)
{
    Pair pair{request.team, request.route};
    const auto found = this->histories.find(pair);
    if (found != this->histories.end())
        return found->second.get();

    if (this->histories.size() >= this->pairLimit)
        pair.route = QStringLiteral("other");
    if (this->histories.size() >= 2 * this->pairLimit && !this->histories.contains(pair))
        return nullptr;
    auto &history = this->histories[pair];
    if (!history)
        history = std::make_unique<BurnHistory>();
    return history.get();
}

} // namespace lacewingmux
