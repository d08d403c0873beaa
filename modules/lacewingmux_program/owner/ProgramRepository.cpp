#include "lacewingmux_program/owner/ProgramRepository.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/ids/MintedId.h"
#include "lacewingmux_program/events/EventCodec.h"

#include <algorithm>

namespace lacewingmux {

std::optional<AggregateId> programAggregate(const QString &programId)
{
    const auto minted = MintedId::parse(programId);
    if (!minted)
        return std::nullopt;
    return AggregateId(AggregateKind::Program, minted->zone(), programId);
}

Program &ProgramRepository::restore(const AggregateRecord &record, EventTime now)
{
    const QString &rootId = record.id.name();
    Slot &slot = this->slots.at(record.id.slot());
    StoredProgram &stored = slot.programs[rootId];
    stored.entries = record.entries;
    Program &program = this->load(rootId, stored, now);
    this->indexSubAgents(slot, program);
    return program;
}

Program &ProgramRepository::open(const ProgramOpened &opened, const QByteArray &entry)
{
    StoredProgram &stored = this->slots.at(slotOf(opened.program)).programs[opened.program];
    stored.entries = {entry};
    stored.program = std::make_unique<Program>(opened);
    stored.lastUse = opened.at;
    this->loaded.insert(opened.program);
    return *stored.program;
}

Program *ProgramRepository::find(const QString &id, EventTime now)
{
    Slot &slot = this->slots.at(slotOf(id));
    const auto subAgent = slot.rootOfSubAgent.find(id);
    const QString rootId = subAgent == slot.rootOfSubAgent.end() ? id : subAgent->second;
    const auto found = slot.programs.find(rootId);
    if (found == slot.programs.end())
        return nullptr;
    return &this->load(rootId, found->second, now);
}

void ProgramRepository::record(Program &program, const ProgramEvent &event, const QByteArray &entry)
{
    program.apply(event);
    this->stored(program).entries.push_back(entry);
    if (const auto *opened = std::get_if<SubAgentOpened>(&event)) {
        const QString &rootId = program.opening().program;
        this->slots.at(slotOf(rootId)).rootOfSubAgent[opened->subAgent] = rootId;
    }
}

void ProgramRepository::compact(Program &program, const QByteArray &entry)
{
    this->stored(program).entries = {entry};
}

std::size_t ProgramRepository::entryCount(const Program &program) const
{
    const QString &rootId = program.opening().program;
    return this->slots.at(slotOf(rootId)).programs.at(rootId).entries.size();
}

void ProgramRepository::schedule(const Program &program, std::optional<EventTime> due)
{
    const QString &rootId = program.opening().program;
    StoredProgram &stored = this->stored(program);
    if (stored.due == due)
        return;
    if (stored.due)
        this->dueTimes.erase({*stored.due, rootId});
    if (due)
        this->dueTimes.emplace(*due, rootId);
    stored.due = due;
}

std::vector<QString> ProgramRepository::due(EventTime now) const
{
    std::vector<QString> ids;
    for (auto entry = this->dueTimes.begin(); entry != this->dueTimes.end() && entry->first <= now;
         ++entry)
        ids.push_back(entry->second);
    return ids;
}

void ProgramRepository::remove(const QString &rootId)
{
    Slot &slot = this->slots.at(slotOf(rootId));
    const auto found = slot.programs.find(rootId);
    if (found == slot.programs.end())
        return;
    if (found->second.due)
        this->dueTimes.erase({*found->second.due, rootId});
    this->loaded.erase(rootId);
    std::erase_if(slot.rootOfSubAgent,
                  [&rootId](const auto &entry) { return entry.second == rootId; });
    slot.programs.erase(found);
}

void ProgramRepository::clear(SlotIndex slotIndex)
{
    Slot &slot = this->slots.at(slotIndex);
    for (const auto &[rootId, stored] : slot.programs) {
        if (stored.due)
            this->dueTimes.erase({*stored.due, rootId});
        this->loaded.erase(rootId);
    }
    slot.programs.clear();
    slot.rootOfSubAgent.clear();
}

std::vector<QString> ProgramRepository::rootsOf(SlotIndex slot) const
{
    std::vector<QString> ids;
    for (const auto &entry : this->slots.at(slot).programs)
        ids.push_back(entry.first);
    return ids;
}

void ProgramRepository::unload(EventTime unusedSince)
{
    std::erase_if(this->loaded, [this, unusedSince](const QString &rootId) {
        StoredProgram &stored = this->slots.at(slotOf(rootId)).programs.at(rootId);
        if (stored.lastUse > unusedSince || stored.program->isRunning())
            return false;
        stored.program.reset();
        return true;
    });
}

std::size_t ProgramRepository::size() const noexcept
{
    std::size_t count = 0;
    for (const Slot &slot : this->slots)
        count += slot.programs.size();
    return count;
}

SlotIndex ProgramRepository::slotOf(const QString &rootId)
{
    const auto aggregate = programAggregate(rootId);
    if (!aggregate)
        throw LacewingmuxError(ErrorKind::UnknownProgram,
                               QStringLiteral("this is no id of a program"));
    return aggregate->slot();
}

ProgramRepository::StoredProgram &ProgramRepository::stored(const Program &program)
{
    const QString &rootId = program.opening().program;
    return this->slots.at(slotOf(rootId)).programs.at(rootId);
}

Program &ProgramRepository::load(const QString &rootId, StoredProgram &stored, EventTime now)
{
    stored.lastUse = now;
    if (stored.program)
        return *stored.program;
    std::vector<ProgramEvent> events;
    for (const QByteArray &entry : stored.entries) {
        std::vector<ProgramEvent> decoded = decodeEvents(entry);
        std::move(decoded.begin(), decoded.end(), std::back_inserter(events));
    }
    stored.program = Program::rebuild(events);
    this->loaded.insert(rootId);
    return *stored.program;
}

void ProgramRepository::indexSubAgents(Slot &slot, const Program &program)
{
    for (std::size_t index = 1; index < program.agents().size(); ++index)
        slot.rootOfSubAgent[program.agents()[index].id] = program.opening().program;
}

} // namespace lacewingmux
