#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/**
    Splits a stream of server-sent events at event boundaries, so that forwarded data never ends
    within an event. Collects the data of the events, and the id of the last one.
*/
class EventStreamParser
{
public:
    /** Appends bytes of the stream; returns those up to the end of the last complete event. */
    [[nodiscard]] QByteArray append(const QByteArray &bytes);

    /** Returns the number of complete events with data. */
    [[nodiscard]] std::int64_t count() const noexcept
    {
        return this->eventCount;
    }

    /** Returns the id of the last complete event that had one; otherwise empty. */
    [[nodiscard]] const QByteArray &lastId() const noexcept
    {
        return this->lastEventId;
    }

    /** Returns the data of all complete events, each followed by a line feed. */
    [[nodiscard]] const QByteArray &data() const noexcept
    {
        return this->eventData;
    }

    /** Tells whether an incomplete event is pending. */
    [[nodiscard]] bool hasPartialEvent() const noexcept
    {
        return !this->pending.isEmpty();
    }

    /** Returns the number of bytes of the incomplete event; 0 if none is pending. */
    [[nodiscard]] qsizetype partialBytes() const noexcept
    {
        return this->pending.size();
    }

    /** Returns the bytes that the events and the incomplete event take. */
    [[nodiscard]] qsizetype bufferedBytes() const noexcept
    {
        return this->eventData.size() + this->pending.size();
    }

    /** Discards the incomplete event, before the stream resumes from another replica. */
    void dropPartialEvent();

private:
    void readEvent(QByteArrayView event);

    QByteArray pending;
    qsizetype searchedBytes = 0; ///< prefix of pending without an end of an event
    std::int64_t eventCount = 0;
    QByteArray lastEventId;
    QByteArray eventData;
};

} // namespace lacewingmux
