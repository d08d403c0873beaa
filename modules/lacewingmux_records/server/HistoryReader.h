#pragma once

#include "lacewingmux_records/messages/RecordMessages.h"

#include <chrono>

namespace lacewingmux {

class DurableLog;
class RecordIndex;

/**
    Reads the histories of chains of turns, or parts of them, from the log of a records VM.

    A history may be longer than one message, and than the memory that a records VM can spare, so
    it is read in parts that the requester asks for one after the other.
*/
class HistoryReader
{
public:
    HistoryReader(const RecordIndex &recordIndex, DurableLog &durableLog);

    /** Reads up to the requested number of bytes from the requested position on. A chain that is
        kept until before the time is not found. */
    [[nodiscard]] HistoryPartMessage
    read(const HistoryPartRequestMessage &request,
         std::chrono::system_clock::time_point expiredBefore) const;

private:
    const RecordIndex &index;
    DurableLog &log;
};

} // namespace lacewingmux
