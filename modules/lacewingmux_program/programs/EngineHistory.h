#pragma once

#include "lacewingmux_program/programs/RecordedCall.h"

#include <QByteArray>

#include <cstddef>
#include <vector>

namespace lacewingmux {

/**
    The messages that an agent's model calls have exchanged so far, as the JSON text that the next
    engine request includes. It is extended one turn at a time, so that a long history is not parsed
    again for every call. It is derived from the recorded calls and is rebuilt after a reload.
*/
class EngineHistory
{
public:
    /** Returns the messages of the first count calls, separated by commas. */
    [[nodiscard]] const QByteArray &messagesUpTo(const std::vector<RecordedCall> &calls,
                                                 std::size_t count);

private:
    void append(const RecordedCall &call);

    QByteArray messages;
    std::size_t callCount = 0;
};

} // namespace lacewingmux
