#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_program/events/ProgramEvent.h"
#include "lacewingmux_program/programs/Program.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingmux {

/** Returns the journal id of a program; empty if the text is not a valid program id. */
[[nodiscard]] std::optional<AggregateId> programAggregate(const QString &programId);

/**
    The programs that this VM owns, by slot.

    It keeps the journal entries of each program, sharing their bytes with the journal, and keeps
    the Program rebuilt from them only while it is in use. An idle program therefore needs little
    more memory than its copy in the journal.
*/
class ProgramRepository
{
public:
    /** Restores a program from the journal. Throws LacewingmuxError if an entry is damaged. */
    Program &restore(const AggregateRecord &record, EventTime now);

    /** Adds a program that was just opened. */
    Program &open(const ProgramOpened &opened, const QByteArray &entry);

    /** Returns the program with the id, or with a sub-agent of that id; null if unknown. */
    [[nodiscard]] Program *find(const QString &id, EventTime now);

    /** Applies an event to the program and adds its entry. */
    void record(Program &program, const ProgramEvent &event, const QByteArray &entry);

    /** Replaces all entries of a program with one. */
    void compact(Program &program, const QByteArray &entry);

    /** Returns how many entries the program has. */
    [[nodiscard]] std::size_t entryCount(const Program &program) const;

    /** Sets when the program is due for its next check; empty for never. */
    void schedule(const Program &program, std::optional<EventTime> due);

    /** Returns the ids of the programs that are due. */
    [[nodiscard]] std::vector<QString> due(EventTime now) const;

    void remove(const QString &rootId);

    /** Removes all programs of a slot. */
    void clear(SlotIndex slot);

    /** Returns the ids of the programs of a slot. */
    [[nodiscard]] std::vector<QString> rootsOf(SlotIndex slot) const;

    /** Unloads programs that have no running call and were not used after the given time. */
    void unload(EventTime unusedSince);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::size_t loadedCount() const noexcept
    {
        return this->loaded.size();
    }

private:
    struct StoredProgram
    {
        std::vector<QByteArray> entries;
        std::unique_ptr<Program> program; ///< null while unloaded
        EventTime lastUse;
        std::optional<EventTime> due;
    };
    struct Slot
    {
        std::unordered_map<QString, StoredProgram> programs;
        std::unordered_map<QString, QString> rootOfSubAgent;
    };

    [[nodiscard]] static SlotIndex slotOf(const QString &rootId);
    [[nodiscard]] StoredProgram &stored(const Program &program);
    Program &load(const QString &rootId, StoredProgram &stored, EventTime now);
    void indexSubAgents(Slot &slot, const Program &program);

    std::array<Slot, slotsPerZone> slots;
    std::set<std::pair<EventTime, QString>> dueTimes;
    std::set<QString> loaded;
};

} // namespace lacewingmux
