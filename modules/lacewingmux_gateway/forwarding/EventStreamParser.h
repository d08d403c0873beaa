#pragma once

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <QByteArray>

namespace lacewingmux {

class EventSequence;

/**
    Splits one replica's stream of server-sent events at event boundaries, so that forwarded data
    never ends within an event.
*/
class EventStreamParser
{
public:
    /** Appends bytes of the stream; returns the events that they complete, up to the first one that
        does not follow in the sequence. */
    [[nodiscard]] StreamEvents append(const QByteArray &bytes, EventSequence &sequence);

    /** Tells whether an event did not follow in the sequence. */
    [[nodiscard]] bool isOutOfSequence() const noexcept
    {
        return this->outOfSequence;
    }

    /** Returns the number of bytes of the incomplete event; 0 if none is pending. */
    [[nodiscard]] qsizetype partialBytes() const noexcept
    {
        return this->pending.size();
    }

private:
    QByteArray pending;
    qsizetype searchedBytes = 0; ///< prefix of pending without an end of an event
    bool outOfSequence = false;
};

} // namespace lacewingmux
