#include "events/InvariantChecks.h"

#include "lacewingmux_core/errors/ErrorTable.h"

#include <algorithm>
#include <map>

namespace {

using AttemptsByMarker = std::map<QString, std::vector<const CallerAttempt *>>;

AttemptsByMarker groupByMarker(const std::vector<CallerAttempt> &attempts)
{
    AttemptsByMarker groups;
    for (const CallerAttempt &attempt : attempts) {
        if (!attempt.marker.isEmpty())
            groups[attempt.marker].push_back(&attempt);
    }
    return groups;
}

std::vector<const BackendRun *> runsOf(const QString &marker, const std::vector<BackendRun> &runs)
{
    std::vector<const BackendRun *> result;
    for (const BackendRun &run : runs) {
        if (run.request.contains(marker.toUtf8()))
            result.push_back(&run);
    }
    return result;
}

bool saidNotRun(const CallerAttempt &attempt)
{
    return attempt.outcome == AttemptOutcome::Refused && attempt.executed == QStringLiteral("no");
}

} // namespace

std::vector<Violation> checkAtMostOnce(const std::vector<CallerAttempt> &attempts,
                                       const std::vector<BackendRun> &runs)
{
    std::vector<Violation> violations;
    for (const auto &[marker, group] : groupByMarker(attempts)) {
        const std::size_t count = runsOf(marker, runs).size();
        if (!group.front()->idempotent && count > 1)
            violations.push_back({QStringLiteral("at most once"),
                                  QStringLiteral("%1 ran %2 times").arg(marker).arg(count)});
    }
    return violations;
}

std::vector<Violation> checkNotRunIsTrue(const std::vector<CallerAttempt> &attempts,
                                         const std::vector<BackendRun> &runs)
{
    std::vector<Violation> violations;
    for (const auto &[marker, group] : groupByMarker(attempts)) {
        const bool allNotRun = std::all_of(group.begin(), group.end(), [](const auto *attempt) {
            return saidNotRun(*attempt);
        });
        const std::size_t count = runsOf(marker, runs).size();
        if (allNotRun && count > 0)
            violations.push_back({QStringLiteral("not run is true"),
                                  QStringLiteral("%1 ran %2 times, each of %3 attempts said no")
                                          .arg(marker)
                                          .arg(count)
                                          .arg(group.size())});
    }
    return violations;
}

std::vector<Violation> checkAnswersAreOwn(const std::vector<CallerAttempt> &attempts)
{
    const AttemptsByMarker groups = groupByMarker(attempts);
    std::vector<Violation> violations;
    for (const auto &[marker, group] : groups) {
        const CallerAttempt *first = nullptr;
        for (const CallerAttempt *attempt : group) {
            if (attempt->outcome != AttemptOutcome::Answered)
                continue;
            if (!attempt->body.contains(marker.toUtf8()))
                violations.push_back({QStringLiteral("own answer"),
                                      QStringLiteral("%1 got an answer without it: %2")
                                              .arg(marker, QString::fromUtf8(attempt->body))});
            if (first != nullptr && first->body != attempt->body)
                violations.push_back({QStringLiteral("same answer"),
                                      QStringLiteral("%1 got two different answers").arg(marker)});
            first = attempt;
        }
    }
    return violations;
}

std::vector<Violation> checkOrder(const std::vector<CallerAttempt> &attempts,
                                  const std::vector<BackendRun> &runs)
{
    std::map<QString, std::map<std::uint32_t, QString>> markersByProgram;
    for (const CallerAttempt &attempt : attempts) {
        if (!attempt.program.isEmpty())
            markersByProgram[attempt.program][attempt.callNumber] = attempt.marker;
    }

    std::vector<Violation> violations;
    for (const auto &[program, markers] : markersByProgram) {
        std::chrono::milliseconds lastStart{0};
        QString lastRun; ///< where and when the latest of the earlier calls' runs was
        for (const auto &[number, marker] : markers) {
            for (const BackendRun *run : runsOf(marker, runs)) {
                // A later call's request holds the markers of the history before it.
                const auto next = markers.find(number + 1);
                if (next != markers.end() && run->request.contains(next->second.toUtf8()))
                    continue;
                if (run->started < lastStart)
                    violations.push_back(
                            {QStringLiteral("order"),
                             QStringLiteral(
                                     "%1: call %2 started before an earlier one, at %3 ms on "
                                     "%4; before it %5")
                                     .arg(program)
                                     .arg(number)
                                     .arg(run->started.count())
                                     .arg(run->server, lastRun)});
                if (run->started >= lastStart)
                    lastRun = QStringLiteral("call %1 at %2 ms on %3")
                                      .arg(number)
                                      .arg(run->started.count())
                                      .arg(run->server);
                lastStart = std::max(lastStart, run->started);
            }
        }
    }
    return violations;
}

std::vector<Violation> checkHistory(const std::vector<CallerAttempt> &attempts,
                                    const QString &program, const QByteArray &history)
{
    std::map<std::uint32_t, QString> answered;
    std::vector<Violation> violations;
    for (const CallerAttempt &attempt : attempts) {
        const bool own = attempt.program == program;
        if (own && attempt.outcome == AttemptOutcome::Answered)
            answered[attempt.callNumber] = attempt.marker;
        if (!own && !attempt.marker.isEmpty() && history.contains(attempt.marker.toUtf8()))
            violations.push_back({QStringLiteral("history not mixed"),
                                  QStringLiteral("%1 holds %2 of %3")
                                          .arg(program, attempt.marker, attempt.program)});
    }

    qsizetype position = 0;
    for (const auto &[number, marker] : answered) {
        const qsizetype found = history.indexOf(marker.toUtf8(), position);
        if (found < 0)
            violations.push_back({QStringLiteral("history not lost"),
                                  QStringLiteral("%1 lacks call %2 (%3) in its place")
                                          .arg(program)
                                          .arg(number)
                                          .arg(marker)});
        else
            position = found;
    }
    return violations;
}

std::vector<Violation> checkNoKeySeen(const std::vector<BackendRun> &runs,
                                      const std::vector<QByteArray> &keys)
{
    std::vector<Violation> violations;
    for (const BackendRun &run : runs) {
        const bool seen = std::any_of(keys.begin(), keys.end(), [&run](const QByteArray &key) {
            return run.request.contains(key) || run.request.contains(key.toPercentEncoding());
        });
        if (seen)
            violations.push_back(
                    {QStringLiteral("no key at a backend server"),
                     QStringLiteral("%1 saw one in %2").arg(run.server, run.requestId)});
    }
    return violations;
}

std::vector<Violation> checkRate(const std::vector<CallerAttempt> &attempts, const QString &team,
                                 double requestsPerSecond, double burst)
{
    std::vector<std::chrono::steady_clock::time_point> earliest;
    std::vector<std::chrono::steady_clock::time_point> latest;
    for (const CallerAttempt &attempt : attempts) {
        if (attempt.team != team || attempt.outcome != AttemptOutcome::Answered)
            continue;
        earliest.push_back(attempt.sent);
        latest.push_back(attempt.ended);
    }
    std::sort(earliest.begin(), earliest.end());
    std::sort(latest.begin(), latest.end());

    // An admission lies between sending and answer, so a window from the first sending to the last
    // answer of any run of attempts holds all of them for certain.
    std::vector<Violation> violations;
    for (std::size_t first = 0; first < earliest.size(); ++first) {
        for (std::size_t last = first; last < latest.size(); ++last) {
            const double seconds =
                    std::chrono::duration<double>(latest[last] - earliest[first]).count();
            const double admitted = static_cast<double>(last - first + 1);
            if (admitted <= burst + requestsPerSecond * seconds + 1e-6)
                continue;
            violations.push_back(
                    {QStringLiteral("rate and burst"), QStringLiteral("%1: %2 admitted within %3 s")
                                                               .arg(team)
                                                               .arg(admitted)
                                                               .arg(seconds)});
            return violations;
        }
    }
    return violations;
}

std::vector<Violation> checkRefusalsTellWhenToReturn(const std::vector<CallerAttempt> &attempts)
{
    std::vector<Violation> violations;
    for (const CallerAttempt &attempt : attempts) {
        if (attempt.outcome != AttemptOutcome::Refused)
            continue;
        const auto kind = lacewingmux::errorKindFromName(attempt.errorKind);
        if (!kind)
            violations.push_back({QStringLiteral("closed list of kinds"),
                                  QStringLiteral("unknown kind %1").arg(attempt.errorKind)});
        else if (lacewingmux::answerFor(*kind).retryable && attempt.retryAfter.count() <= 0)
            violations.push_back({QStringLiteral("when to come back"),
                                  QStringLiteral("%1 without a time").arg(attempt.errorKind)});
    }
    return violations;
}
