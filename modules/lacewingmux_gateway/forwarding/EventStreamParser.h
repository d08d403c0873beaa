#pragma once

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <QByteArray>

namespace lacewingmux {

class EventSequence;

/**
    Splits one replica's stream of server-sent events at event boundaries, so that forwarded data
    never ends within an event.

    Nothing but its own head parts a second response from a stream that ends with its connection.
    Such a stream ends where another response begins.
*/
class EventStreamParser
{
public:
    /** Creates a parser of a stream that ends with its connection, or with the framing of its body.
     */
    explicit EventStreamParser(bool streamEndsAtClose = false)
        : endsAtClose(streamEndsAtClose)
    { }

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
    /** Tells whether another response begins at this position of the pending bytes. */
    [[nodiscard]] bool isAtOtherResponse(qsizetype position) const;

    bool endsAtClose;
    bool otherResponseFollows = false;
    QByteArray pending;
    qsizetype searchedBytes = 0; ///< prefix of pending without an end of an event
    bool outOfSequence = false;
};

} // namespace lacewingmux
