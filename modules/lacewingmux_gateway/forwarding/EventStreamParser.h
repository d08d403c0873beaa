#pragma once

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <QByteArray>

#include <functional>
#include <utility>

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
    /** Returns the position of the head of a response within the bytes; -1 if there is none. */
    using ResponseSearch = std::function<qsizetype(const QByteArray &)>;

    /** Creates a parser of a stream that ends with its connection, or else with the framing of its
        body. The search, which may be null, finds another response within an event of a stream
        that ends with its connection. */
    explicit EventStreamParser(bool streamEndsAtClose = false, ResponseSearch responseSearch = {})
        : endsAtClose(streamEndsAtClose)
        , findResponse(std::move(responseSearch))
    { }

    /** Appends bytes of the stream; returns the events that they complete, up to the first one that
        does not follow in the sequence. An event is held back if only the one behind it shows
        whether it follows. */
    [[nodiscard]] StreamEvents append(const QByteArray &bytes, EventSequence &sequence);

    /** Returns the complete events that are still held back at the end of the stream, up to the
        first one that does not follow in the sequence. */
    [[nodiscard]] StreamEvents finish(EventSequence &sequence);

    /** Tells whether an event did not follow in the sequence. */
    [[nodiscard]] bool isOutOfSequence() const noexcept
    {
        return this->outOfSequence;
    }

    /** Returns the number of bytes that are pending, those of the incomplete event and of events
        that are held back. */
    [[nodiscard]] qsizetype partialBytes() const noexcept
    {
        return this->pending.size();
    }

private:
    /** Tells whether another response begins at this position of the pending bytes. */
    [[nodiscard]] bool isAtOtherResponse(qsizetype position) const;

    /** Discards another response that begins within the event at this position of the pending
        bytes, as the event has broken off there; returns whether one does. */
    [[nodiscard]] bool cutAtOtherResponse(qsizetype position, qsizetype eventBytes);

    /** Adds the event from this position to the end, if it follows in the sequence. Returns whether
        the parser may go on behind it. */
    [[nodiscard]] bool addEvent(StreamEvents &events, qsizetype position, qsizetype end,
                                EventSequence &sequence);

    /** Returns the id of the first complete event with one from this position on; empty if there is
        none. */
    [[nodiscard]] QByteArray nextIdFrom(qsizetype position) const;

    bool endsAtClose;
    ResponseSearch findResponse;
    bool otherResponseFollows = false;
    QByteArray pending;
    qsizetype searchedBytes = 0; ///< prefix of pending without an end of an event
    bool outOfSequence = false;
    bool isHolding = false; ///< the first pending event
    bool ended = false;     ///< no bytes follow
};

} // namespace lacewingmux
