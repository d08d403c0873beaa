#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/**
    Cuts a stream of server-sent events after each whole event, so that what is passed on never
    ends within one. Keeps what the events say, and the id of the last one.
*/
class StreamEvents
{
public:
    /** Takes bytes of the stream; returns those up to the end of the last whole event. */
    [[nodiscard]] QByteArray append(const QByteArray &bytes);

    /** Returns how many whole events have come. */
    [[nodiscard]] std::int64_t count() const noexcept
    {
        return this->eventCount;
    }

    /** Returns the id of the last whole event; empty when none had one. */
    [[nodiscard]] const QByteArray &lastId() const noexcept
    {
        return this->lastEventId;
    }

    /** Returns the data of all whole events, each followed by a line feed. */
    [[nodiscard]] const QByteArray &data() const noexcept
    {
        return this->eventData;
    }

    /** Returns whether bytes have come that are no whole event yet. */
    [[nodiscard]] bool isWithinEvent() const noexcept
    {
        return !this->pending.isEmpty();
    }

    /** Forgets the part of an event that came last: the stream goes on from another replica. */
    void dropPartialEvent();

private:
    void readEvent(QByteArrayView event);

    QByteArray pending;
    qsizetype searchedBytes = 0; ///< of pending, which hold no end of an event
    std::int64_t eventCount = 0;
    QByteArray lastEventId;
    QByteArray eventData;
};

} // namespace lacewingmux
