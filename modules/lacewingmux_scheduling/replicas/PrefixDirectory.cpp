#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr double confidenceAfterGap = 0.7; ///< factor applied for each gap in the event sequence
constexpr double observationWeight = 0.1;  ///< weight of one finished call in the moving average
constexpr double minimumConfidence = 0.05; ///< so that later observations can raise it again

} // namespace

PrefixDirectory::PrefixDirectory(std::size_t maximumPrograms)
    : capacity(std::max<std::size_t>(1, maximumPrograms))
{ }

void PrefixDirectory::served(const QString &program, const QString &replica,
                             std::int64_t prefixTokens)
{
    this->forgetProgram(program);
    this->byRecency.push_front(program);
    this->entries.emplace(program,
                          Entry{replica, prefixTokens, this->replicaRecords[replica].generation,
                                this->byRecency.begin()});
    if (this->entries.size() > this->capacity)
        this->forgetProgram(QString(this->byRecency.back()));
}

void PrefixDirectory::observed(const QString &replica, std::int64_t expectedTokens,
                               std::int64_t cachedTokens)
{
    if (expectedTokens <= 0)
        return;
    const double hitRatio = std::clamp(
            static_cast<double>(cachedTokens) / static_cast<double>(expectedTokens), 0.0, 1.0);
    double &confidence = this->replicaRecords[replica].confidence;
    confidence =
            std::max(minimumConfidence, confidence + observationWeight * (hitRatio - confidence));
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
    ReplicaRecord &record = this->replicaRecords[replica];
    if (record.lastSequence > 0 && eventSequence > record.lastSequence + 1)
        record.confidence = std::max(minimumConfidence, record.confidence * confidenceAfterGap);
    record.lastSequence = std::max(record.lastSequence, eventSequence);
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
    ReplicaRecord &record = this->replicaRecords[replica];
    record.confidence = 1;
    record.lastSequence = 0;
    ++record.generation;
}

std::optional<PrefixLocation> PrefixDirectory::find(const QString &program) const
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return std::nullopt;
    const Entry &entry = found->second;
    const ReplicaRecord &record = this->replicaRecords.at(entry.replica);
    if (entry.replicaGeneration != record.generation)
        return std::nullopt;
    return PrefixLocation{entry.replica, entry.tokens, record.confidence};
}

} // namespace lacewingmux
