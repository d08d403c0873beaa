#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace lacewingmux {

/** The log in which a records VM stores its records, numbered from 1 in append order. */
class DurableLog
{
public:
    using ReplayFunction = std::function<void(std::uint64_t sequence, const Record &)>;

    DurableLog() = default;
    virtual ~DurableLog() = default;
    DurableLog(const DurableLog &) = delete;
    DurableLog &operator=(const DurableLog &) = delete;

    /** Reports all stored records in order. Call once, before the first append. */
    virtual void replay(const ReplayFunction &report) = 0;

    /** Appends a record and returns its sequence number. The record can be read immediately. */
    virtual std::uint64_t append(const Record &record) = 0;

    /** Invokes the callback on the caller's thread once the record is on disk. */
    virtual void whenDurable(std::uint64_t sequence, std::function<void()> callback) = 0;

    /** Returns a record; nothing if it has been dropped. */
    [[nodiscard]] virtual std::optional<Record> read(std::uint64_t sequence) = 0;

    /** Returns the sequence number up to which records could be dropped, as they expired before the
        time by their own times of expiry, with a gain of disk space; 0 if there are none. */
    [[nodiscard]] virtual std::uint64_t
    expiredUpTo(std::chrono::system_clock::time_point before) const = 0;

    /** Drops records that expired before the time, where that frees disk space. Records from the
        first needed one on are kept, also if they have expired. */
    virtual void dropExpired(std::chrono::system_clock::time_point before,
                             std::uint64_t firstNeeded) = 0;
};

} // namespace lacewingmux
