#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr double confidenceAfterGap = 0.7; ///< factor for each gap in the events
constexpr double observationWeight = 0.1;  ///< of one finished call in the moving average
constexpr double minimumConfidence = 0.05; ///< so that observations can raise it again

} // namespace

PrefixDirectory::PrefixDirectory(std::size_t maximumPrograms)
    : capacity(std::max<std::size_t>(1, maximumPrograms))
{ }

void PrefixDirectory::served(const QString &program, const QString &replica,
                             std::int64_t prefixTokens)
{
    this->forgetProgram(program);
    this->byRecency.push_front(program);
    this->entries.emplace(program, Entry{replica, prefixTokens, this->knowledge[replica].generation,
                                         this->byRecency.begin()});
    if (this->entries.size() > this->capacity)
        this->forgetProgram(QString(this->byRecency.back()));
}

void PrefixDirectory::observed(const QString &replica, std::int64_t expectedTokens,
                               std::int64_t cachedTokens)
{
    if (expectedTokens <= 0)
        return;
    const double part = std::clamp(
            static_cast<double>(cachedTokens) / static_cast<double>(expectedTokens), 0.0, 1.0);
    double &confidence = this->knowledge[replica].confidence;
    confidence = std::max(minimumConfidence, confidence + observationWeight * (part - confidence));
}

void PrefixDirectory::evicted(const QString &replica, std::uint64_t eventSequence,
                              const QString &program)
{
    this->eventSeen(replica, eventSequence);
    const auto found = this->entries.find(program);
    if (found != this->entries.end() && found->second.replica == replica)
        this->forgetProgram(program);
}

void PrefixDirectory::eventSeen(const QString &replica, std::uint64_t eventSequence)
{
    Knowledge &known = this->knowledge[replica];
    if (known.lastSequence > 0 && eventSequence > known.lastSequence + 1)
        known.confidence = std::max(minimumConfidence, known.confidence * confidenceAfterGap);
    known.lastSequence = std::max(known.lastSequence, eventSequence);
}

void PrefixDirectory::forgetProgram(const QString &program)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return;
    this->byRecency.erase(found->second.recency);
    this->entries.erase(found);
}

void PrefixDirectory::forgetReplica(const QString &replica)
{
    Knowledge &known = this->knowledge[replica];
    known.confidence = 1;
    known.lastSequence = 0;
    ++known.generation;
}

std::optional<PrefixLocation> PrefixDirectory::find(const QString &program) const
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return std::nullopt;
    const Entry &entry = found->second;
    const Knowledge &known = this->knowledge.at(entry.replica);
    if (entry.replicaGeneration != known.generation)
        return std::nullopt;
    return PrefixLocation{entry.replica, entry.tokens, known.confidence};
}

} // namespace lacewingmux
