#pragma once

#include "lacewingmux_program/programs/RecordedCall.h"

#include <QByteArray>

#include <cstddef>
#include <vector>

namespace lacewingmux {

/**
    The messages that an agent's model calls have exchanged so far, as the JSON text that the next
    engine request repeats. It grows by a turn at a time, so that a long history isn't read anew for
    every call; what it holds follows from the recorded calls and is made again after a reload.
*/
class EngineHistory
{
public:
    /** Returns the messages of the first so many calls, separated by commas. */
    [[nodiscard]] const QByteArray &messagesUpTo(const std::vector<RecordedCall> &calls,
                                                 std::size_t count);

private:
    void append(const RecordedCall &call);

    QByteArray messages;
    std::size_t callCount = 0;
};

} // namespace lacewingmux
