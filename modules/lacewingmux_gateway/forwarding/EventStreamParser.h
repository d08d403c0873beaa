#pragma once

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <QByteArray>

namespace lacewingmux {

class EventSequence;

/**
    Splits one replica's stream of server-sent events at event boundaries, so that forwarded data
    never ends within an event.

    A stream that is cut may be filled up by another response, whatever the framing of its body: the
    decoder reads the beginning of that response as what is missing, and its head ends with an empty
    line, as an event does. The parser stops in front of an event that holds such a head.
*/
class EventStreamParser
{
public:
    /** Appends bytes of the stream; returns the events that they complete, up to the first one that
        does not follow in the sequence or holds the head of another response. An event is held back
        if only the one behind it shows whether it follows. */
    [[nodiscard]] StreamEvents append(const QByteArray &bytes, EventSequence &sequence);

    /** Returns the complete events that are still held back at the end of the stream, up to the
        first one that does not follow in the sequence or holds the head of another response. */
    [[nodiscard]] StreamEvents finish(EventSequence &sequence);

    /** Tells whether an event did not follow in the sequence. */
    [[nodiscard]] bool isOutOfSequence() const noexcept
    {
        return this->outOfSequence;
    }

    /** Tells whether the parser stopped in front of the head of another response. */
    [[nodiscard]] bool foundOtherResponse() const noexcept
    {
        return this->otherResponseFound;
    }

    /** Returns the number of bytes that are pending, those of the incomplete event and of events
        that are held back. */
    [[nodiscard]] qsizetype partialBytes() const noexcept
    {
        return this->pending.size();
    }

private:
    /** Adds the event from this position to the end, if it follows in the sequence. Returns whether
        the parser may go on behind it. */
    [[nodiscard]] bool addEvent(StreamEvents &events, qsizetype position, qsizetype end,
                                EventSequence &sequence);

    /** Returns the id of the first complete event with one from this position on; empty if there is
        none, or the head of another response comes first. Goes on where the last search for it
        ended without a result. */
    [[nodiscard]] QByteArray nextIdFrom(qsizetype position);

    QByteArray pending;
    qsizetype searchedBytes = 0; ///< prefix of pending without an end of an event
    qsizetype idSearchedBytes =
            0; ///< prefix of pending without an id behind the event that is held
    bool outOfSequence = false;
    bool otherResponseFound = false;
    bool isHolding = false; ///< the first pending event
    bool ended = false;     ///< no bytes follow
};

} // namespace lacewingmux
