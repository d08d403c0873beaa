#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace lacewingmux {

/** Where a records VM keeps its records, numbered from 1 in the order appended. */
class DurableLog
{
public:
    using ReplayFunction = std::function<void(std::uint64_t sequence, const Record &)>;

    DurableLog() = default;
    virtual ~DurableLog() = default;
    DurableLog(const DurableLog &) = delete;
    DurableLog &operator=(const DurableLog &) = delete;

    /** Reports all records that are kept, in order. Call once, before the first append. */
    virtual void replay(const ReplayFunction &report) = 0;

    /** Appends a record and returns its number. It may be read at once. */
    virtual std::uint64_t append(const Record &record) = 0;

    /** Calls back, on the thread of the caller, once the record is on disk. */
    virtual void whenDurable(std::uint64_t sequence, std::function<void()> callback) = 0;

    /** Returns a record; nothing when it has been dropped. */
    [[nodiscard]] virtual std::optional<Record> read(std::uint64_t sequence) = 0;

    /** Drops what nobody may ask for any more, as far as that frees disk space. */
    virtual void dropExpired(std::chrono::system_clock::time_point now) = 0;
};

} // namespace lacewingmux
