#pragma once

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewingmux {

/** One event observed at the interfaces of one or more owners, in order. */
struct TraceRecord
{
    enum class Kind { Dispatched, DidNotRun, Outcome, Answered, RefusedNotRun, Takeover };

    Kind kind = Kind::Dispatched;
    QString agent;
    std::uint32_t number = 0;
    bool idempotent = true;
    QByteArray body;         ///< of Answered
    std::int64_t tokens = 0; ///< of Answered, as reported by the engine
    QString root;
};

using Trace = std::vector<TraceRecord>;
using TraceCall = std::pair<QString, std::uint32_t>;

/** Each check returns a description of a violation, if any, and uses only the trace. */
inline std::optional<std::string> checkAtMostOnce(const Trace &trace)
{
    std::map<TraceCall, int> runs;
    for (const TraceRecord &record : trace) {
        const TraceCall call{record.agent, record.number};
        if (record.kind == TraceRecord::Kind::DidNotRun)
            --runs[call];
        if (record.kind == TraceRecord::Kind::Dispatched && ++runs[call] > 1 && !record.idempotent)
            return "a non-idempotent call ran twice: " + record.agent.toStdString();
    }
    return std::nullopt;
}

inline std::optional<std::string> checkOrder(const Trace &trace)
{
    std::map<QString, std::uint32_t> open;
    std::map<QString, std::uint32_t> done;
    // A call that did not run counts as finished after a takeover: if its release was not
    // committed, the next owner has only its claim and must treat its outcome as unknown.
    std::map<QString, std::uint32_t> notRun;
    for (const TraceRecord &record : trace) {
        if (record.kind == TraceRecord::Kind::Takeover) {
            for (const auto &[agent, number] : open)
                done[agent] = std::max(done[agent], number);
            for (const auto &[agent, number] : notRun)
                done[agent] = std::max(done[agent], number);
            open.clear();
            notRun.clear();
        }
        if (record.kind == TraceRecord::Kind::Outcome) {
            open.erase(record.agent);
            done[record.agent] = std::max(done[record.agent], record.number);
        }
        if (record.kind == TraceRecord::Kind::DidNotRun) {
            open.erase(record.agent);
            notRun[record.agent] = record.number;
        }
        if (record.kind != TraceRecord::Kind::Dispatched)
            continue;
        if (open.contains(record.agent) || record.number > done[record.agent] + 1)
            return "a call started before an earlier one finished: " + record.agent.toStdString();
        open[record.agent] = record.number;
        notRun.erase(record.agent);
    }
    return std::nullopt;
}

inline std::optional<std::string> checkAnswers(const Trace &trace)
{
    std::map<TraceCall, QByteArray> answers;
    for (const TraceRecord &record : trace) {
        if (record.kind != TraceRecord::Kind::Answered)
            continue;
        const QString own = record.agent + u'/' + QString::number(record.number) + u'!';
        if (!record.body.contains(own.toUtf8()))
            return "the answer of another call was returned for " + own.toStdString();
        const auto [known, first] =
                answers.emplace(TraceCall{record.agent, record.number}, record.body);
        if (!first && known->second != record.body)
            return "an answer differs from the one returned earlier: " + own.toStdString();
    }
    return std::nullopt;
}

inline std::optional<std::string> checkBudget(const Trace &trace, std::int64_t limit)
{
    std::map<QString, std::int64_t> spent;
    std::set<TraceCall> counted;
    for (const TraceRecord &record : trace) {
        if (record.kind != TraceRecord::Kind::Answered
            || !counted.insert({record.agent, record.number}).second)
            continue;
        spent[record.root] += record.tokens;
        if (spent[record.root] > limit)
            return "a program exceeded its budget: " + record.root.toStdString();
    }
    return std::nullopt;
}

inline std::optional<std::string> checkRefusals(const Trace &trace)
{
    std::map<TraceCall, int> runs;
    for (const TraceRecord &record : trace) {
        const TraceCall call{record.agent, record.number};
        if (record.kind == TraceRecord::Kind::Dispatched)
            ++runs[call];
        if (record.kind == TraceRecord::Kind::DidNotRun)
            --runs[call];
        if (record.kind == TraceRecord::Kind::RefusedNotRun && runs[call] > 0)
            return "a refusal said \"not run\" of a call that ran: " + record.agent.toStdString();
    }
    return std::nullopt;
}

} // namespace lacewingmux
