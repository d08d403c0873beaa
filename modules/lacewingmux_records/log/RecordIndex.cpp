#include "lacewingmux_records/log/RecordIndex.h"

#include <algorithm>
#include <limits>

namespace lacewingmux {

namespace {

constexpr int maximumChainTurns = 10000; // beyond any program; ends a cycle of damaged records

} // namespace

bool RecordIndex::add(const Record &record, std::uint64_t sequence)
{
    const RecordName name = nameOf(record);
    if (!this->sequences.emplace(name, sequence).second) {
        // A record that was copied forward in the log expires later than the first copy.
        if (record.kind == RecordKind::Turn)
            this->extendChain(record.key, record.team, record.expires);
        return false;
    }
    // New entries belong at the end, except for records copied from other members.
    this->names.emplace_hint(this->names.end(), sequence, name);
    this->byExpiry.emplace_hint(this->byExpiry.end(), record.expires, sequence);
    if (record.kind == RecordKind::Turn)
        this->addTurn(record, sequence);
    if (!record.program.isEmpty())
        this->addTokens(record);
    return true;
}

void RecordIndex::addTurn(const Record &record, std::uint64_t sequence)
{
    const WallTime keptUntil = std::max(record.expires, this->awaitedUntil.take(record.key));
    this->turns.insert(record.key,
                       {sequence, record.team, record.parent, record.program, keptUntil});
    this->extendChain(record.parent, record.team, keptUntil);
}

void RecordIndex::extendChain(const QByteArray &turn, const QByteArray &team, WallTime until)
{
    QByteArray key = turn;
    while (!key.isEmpty()) {
        const auto found = this->turns.find(key);
        if (found == this->turns.end()) {
            WallTime &awaited = this->awaitedUntil[key];
            awaited = std::max(awaited, until);
            return;
        }
        // Also ends a cycle of damaged records.
        if (found->keptUntil >= until || found->team != team)
            return;
        found->keptUntil = until;
        key = found->parent;
    }
}

RecordIndex::WallTime RecordIndex::keptUntil(const RecordName &name) const
{
    if (name.kind != RecordKind::Turn)
        return this->owedUntil(name.program, name.key);
    const auto found = this->turns.constFind(name.key);
    if (found == this->turns.cend())
        return {};
    return std::max(found->keptUntil, this->owedUntil(found->program, name.key));
}

RecordIndex::WallTime RecordIndex::owedUntil(const QByteArray &program,
                                             const QByteArray &turn) const
{
    const auto found = this->programs.constFind(program);
    if (found == this->programs.cend())
        return {};
    const bool isOwed =
            std::any_of(found->turns.rbegin(), found->turns.rend(), [&turn](const auto &tokens) {
                return tokens.key == turn && tokens.reserved > 0;
            });
    return isOwed ? found->expires : WallTime();
}

bool RecordIndex::isOnlyOwed(const RecordName &name, WallTime expiredBefore) const
{
    const auto found = this->turns.constFind(name.key);
    return name.kind == RecordKind::Turn && found != this->turns.cend()
           && found->keptUntil < expiredBefore;
}

void RecordIndex::move(std::uint64_t sequence, std::uint64_t newSequence)
{
    auto named = this->names.extract(sequence);
    if (named.empty())
        return;
    named.key() = newSequence;
    const RecordName &name = named.mapped();
    this->sequences[name] = newSequence;
    if (name.kind == RecordKind::Turn)
        this->turns[name.key].sequence = newSequence;
    this->byExpiry.emplace(this->keptUntil(name), newSequence);
    this->names.insert(std::move(named));
}

void RecordIndex::addTokens(const Record &record)
{
    Program &program = this->programs[record.program];
    program.expires = std::max(program.expires, record.expires);
    TurnTokens &tokens = tokensOf(program, record.key);
    if (record.kind == RecordKind::Reservation) {
        tokens.reserved = record.tokens;
        return;
    }
    tokens.used = std::max(tokens.used, record.tokens);
    tokens.settled = true;
}

RecordIndex::TurnTokens &RecordIndex::tokensOf(Program &program, const QByteArray &turn)
{
    // A turn is settled soon after its reservation, so the search starts at the newest turn.
    const auto found = std::find_if(program.turns.rbegin(), program.turns.rend(),
                                    [&turn](const auto &entry) { return entry.key == turn; });
    if (found != program.turns.rend())
        return *found;
    program.turns.push_back({});
    program.turns.back().key = turn;
    return program.turns.back();
}

bool RecordIndex::contains(const RecordName &name) const
{
    return this->sequences.contains(name);
}

std::uint64_t RecordIndex::sequenceOf(const RecordName &name) const
{
    const auto found = this->sequences.find(name);
    return found == this->sequences.end() ? 0 : found->second;
}

std::vector<ReservationState> RecordIndex::reservations(const QByteArray &program,
                                                        const QByteArray &exceptTurn) const
{
    std::vector<ReservationState> states;
    const auto found = this->programs.constFind(program);
    if (found == this->programs.cend())
        return states;
    for (const TurnTokens &turn : found->turns) {
        if (turn.key != exceptTurn)
            states.push_back({turn.key, turn.settled ? turn.used : turn.reserved, turn.settled});
    }
    return states;
}

ChainLookup RecordIndex::chain(const QByteArray &turn, const QByteArray &team,
                               WallTime expiredBefore) const
{
    ChainLookup lookup;
    QByteArray key = turn;
    while (!key.isEmpty() && lookup.sequences.size() < maximumChainTurns) {
        const auto found = this->turns.constFind(key);
        const bool isRequestedTurn = lookup.sequences.empty();
        if (found == this->turns.cend() || found->team != team) {
            lookup.status = isRequestedTurn ? ChainStatus::Absent : ChainStatus::Incomplete;
            return lookup;
        }
        if (isRequestedTurn && found->keptUntil < expiredBefore) {
            lookup.status = ChainStatus::Expired;
            return lookup;
        }
        lookup.sequences.push_back(found->sequence);
        key = found->parent;
    }
    std::reverse(lookup.sequences.begin(), lookup.sequences.end());
    lookup.status = ChainStatus::Found;
    return lookup;
}

std::vector<std::pair<std::uint64_t, RecordName>> RecordIndex::namesAfter(std::uint64_t sequence,
                                                                          std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, RecordName>> found;
    for (auto name = this->names.upper_bound(sequence);
         name != this->names.end() && found.size() < limit; ++name)
        found.emplace_back(*name);
    return found;
}

std::uint64_t RecordIndex::firstSequence() const
{
    return this->names.empty() ? std::numeric_limits<std::uint64_t>::max()
                               : this->names.begin()->first;
}

std::uint64_t RecordIndex::lastSequence() const
{
    return this->names.empty() ? 0 : this->names.rbegin()->first;
}

void RecordIndex::dropExpired(WallTime before)
{
    const auto end = this->byExpiry.lower_bound(before);
    std::vector<std::pair<WallTime, std::uint64_t>> extended;
    for (auto entry = this->byExpiry.begin(); entry != end; ++entry) {
        const auto named = this->names.find(entry->second);
        if (named == this->names.end()) // moved
            continue;
        const WallTime keptUntil = this->keptUntil(named->second);
        if (keptUntil >= before)
            extended.emplace_back(keptUntil, entry->second);
        else
            this->remove(named);
    }
    this->byExpiry.erase(this->byExpiry.begin(), end);
    this->byExpiry.insert(extended.begin(), extended.end());
    this->awaitedUntil.removeIf([before](auto turn) { return turn.value() < before; });
    this->programs.removeIf([before](auto program) { return program.value().expires < before; });
}

void RecordIndex::remove(const RecordName &name)
{
    const auto named = this->names.find(this->sequenceOf(name));
    if (named != this->names.end())
        this->remove(named);
}

void RecordIndex::remove(std::map<std::uint64_t, RecordName>::iterator named)
{
    const RecordName &name = named->second;
    this->sequences.erase(name);
    if (name.kind == RecordKind::Turn)
        this->turns.remove(name.key);
    this->names.erase(named);
}

} // namespace lacewingmux
