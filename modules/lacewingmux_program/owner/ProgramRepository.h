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

/** Returns the id under which the journal keeps a program; nothing for a text that is no id. */
[[nodiscard]] std::optional<AggregateId> programAggregate(const QString &programId);

/**
    The programs that this VM owns, by slot.

    Of each it keeps the journal's entries, whose bytes it shares with the journal, and the Program
    rebuilt from them only while it is in use. So an idle program costs little more than its copy in
    the journal.
*/
class ProgramRepository
{
public:
    /** Takes a program as the journal has it. Throws LacewingmuxError when an entry is damaged. */
    Program &restore(const AggregateRecord &record, EventTime now);

    /** Adds a program that was just opened. */
    Program &open(const ProgramOpened &opened, const QByteArray &entry);

    /** Returns the program that the id names, itself or one of its sub-agents; null if unknown. */
    [[nodiscard]] Program *find(const QString &id, EventTime now);

    /** Takes an event into the program and its entries. */
    void record(Program &program, const ProgramEvent &event, const QByteArray &entry);

    /** Replaces the entries of a program by one. */
    void compact(Program &program, const QByteArray &entry);

    /** Returns how many entries the program has. */
    [[nodiscard]] std::size_t entryCount(const Program &program) const;

    /** Sets when the program is looked at next; nothing for never. */
    void schedule(const Program &program, std::optional<EventTime> due);

    /** Returns the ids of the programs that are due. */
    [[nodiscard]] std::vector<QString> due(EventTime now) const;

    void remove(const QString &rootId);

    /** Forgets all programs of a slot. */
    void clear(SlotIndex slot);

    /** Returns the ids of the programs of a slot. */
    [[nodiscard]] std::vector<QString> rootsOf(SlotIndex slot) const;

    /** Drops the rebuilt form of programs not used since the time and without a running call. */
    void unload(EventTime unusedSince);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::size_t loadedCount() const noexcept
    {
        return this->loaded.size();
    }

private:
    struct Stored
    {
        std::vector<QByteArray> entries;
        std::unique_ptr<Program> program; ///< null while unloaded
        EventTime lastUse;
        std::optional<EventTime> due;
    };
    struct Slot
    {
        std::unordered_map<QString, Stored> programs;
        std::unordered_map<QString, QString> rootOfSubAgent;
    };

    [[nodiscard]] static SlotIndex slotOf(const QString &rootId);
    [[nodiscard]] Stored &stored(const Program &program);
    Program &load(const QString &rootId, Stored &stored, EventTime now);
    void indexSubAgents(Slot &slot, const Program &program);

    std::array<Slot, slotsPerZone> slots;
    std::set<std::pair<EventTime, QString>> dueTimes;
    std::set<QString> loaded;
};

} // namespace lacewingmux
