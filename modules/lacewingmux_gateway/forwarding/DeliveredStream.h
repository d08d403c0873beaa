#pragma once

#include "lacewingmux_gateway/forwarding/EventSequence.h"

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

struct StreamEvents;

/** What the caller of a stream has been sent so far, by all replicas that the stream came from. */
class DeliveredStream
{
public:
    /** Creates the record of a stream whose caller has the events up to the given id already; the
        id is empty if it has none. */
    explicit DeliveredStream(const QByteArray &callersLastId = {});

    /** Records that the head of the response was sent. */
    void start()
    {
        this->started = true;
    }

    /** Adds events that were sent. */
    void append(const StreamEvents &events);

    /** Returns the order of the events, for the parser of the response that adds to them. */
    [[nodiscard]] EventSequence &sequence() noexcept
    {
        return this->eventSequence;
    }

    /** Tells whether the head of the response was sent. */
    [[nodiscard]] bool isStarted() const noexcept
    {
        return this->started;
    }

    /** Returns the number of events with data. */
    [[nodiscard]] std::int64_t count() const noexcept
    {
        return this->eventCount;
    }

    /** Returns the id of the last event that had one; empty if none had. */
    [[nodiscard]] const QByteArray &lastId() const noexcept
    {
        return this->lastEventId;
    }

    /** Tells whether another replica can continue the stream: no data was sent, or the id of the
        last event with data is known. */
    [[nodiscard]] bool canBeContinued() const noexcept
    {
        return this->eventCount == 0 || (!this->lastEventId.isEmpty() && !this->endsWithoutId);
    }

    /** Returns the data of all events, each followed by a line feed. */
    [[nodiscard]] const QByteArray &data() const noexcept
    {
        return this->eventData;
    }

private:
    EventSequence eventSequence;
    bool started = false;
    std::int64_t eventCount = 0;
    QByteArray lastEventId;
    bool endsWithoutId = false; ///< the last event with data has no id
    QByteArray eventData;
};

} // namespace lacewingmux
