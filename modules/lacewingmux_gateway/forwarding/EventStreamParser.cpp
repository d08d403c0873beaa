#include "lacewingmux_gateway/forwarding/EventStreamParser.h"

#include "lacewingmux_gateway/forwarding/EventSequence.h"
#include "lacewingmux_gateway/http/EventLines.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// Of the names of an event's fields, its id and its type.
constexpr qsizetype usualFieldBytes = 128;

/** Returns the end of the event that starts at the position, after its empty line; -1 if the
    event is incomplete. */
qsizetype endOfEvent(const QByteArray &bytes, qsizetype from)
{
    qsizetype line = bytes.indexOf('\n', from);
    while (line >= 0) {
        const qsizetype next = line + 1;
        if (next < bytes.size() && bytes[next] == '\n')
            return next + 1;
        if (next + 1 < bytes.size() && bytes[next] == '\r' && bytes[next + 1] == '\n')
            return next + 2;
        line = bytes.indexOf('\n', next);
    }
    return -1;
}

QByteArrayView valueOf(QByteArrayView line, qsizetype nameBytes)
{
    QByteArrayView value = line.sliced(nameBytes + 1);
    if (!value.isEmpty() && value.front() == ' ')
        value = value.sliced(1);
    return value;
}

/** Returns the data of the event, each line followed by a line feed. Sets the id if it has one. */
QByteArray readEvent(QByteArrayView event, QByteArray &id)
{
    QByteArray data;
    qsizetype start = 0;
    while (start < event.size()) {
        qsizetype end = start;
        while (end < event.size() && event[end] != '\n')
            ++end;
        QByteArrayView line = event.sliced(start, end - start);
        if (!line.isEmpty() && line.back() == '\r')
            line.chop(1);
        if (line.startsWith("data:")) {
            data += valueOf(line, 4);
            data += '\n';
        } else if (line.startsWith("id:")) {
            id = valueOf(line, 2).toByteArray();
        }
        start = end + 1;
    }
    return data;
}

/** Adds a complete event with its parts. */
void appendEvent(StreamEvents &events, QByteArrayView event, const QByteArray &id,
                 const QByteArray &data)
{
    events.text += event;
    events.data += data;
    events.count += data.isEmpty() ? 0 : 1;
    const qsizetype expected = data.isEmpty() ? 0 : data.size() + usualFieldBytes;
    events.excessBytes += std::max<qsizetype>(0, event.size() - expected);
    if (!id.isEmpty())
        events.lastId = id;
    if (!id.isEmpty() || !data.isEmpty())
        events.endsWithoutId = id.isEmpty();
}

} // namespace

StreamEvents EventStreamParser::append(const QByteArray &bytes, EventSequence &sequence)
{
    this->pending += bytes;
    StreamEvents events;
    qsizetype completeBytes = 0;
    qsizetype end = endOfEvent(this->pending, this->searchedBytes);
    while (end >= 0 && this->addEvent(events, completeBytes, end, sequence)) {
        completeBytes = end;
        end = endOfEvent(this->pending, completeBytes);
    }
    this->pending.remove(0, completeBytes);
    this->idSearchedBytes = this->isHolding ? this->idSearchedBytes - completeBytes : 0;
    // The end of an event takes up to three bytes, some of which may be pending already.
    this->searchedBytes = this->isHolding ? 0 : std::max<qsizetype>(0, this->pending.size() - 3);
    return events;
}

StreamEvents EventStreamParser::finish(EventSequence &sequence)
{
    this->ended = true;
    this->searchedBytes = 0;
    return this->append({}, sequence);
}

bool EventStreamParser::addEvent(StreamEvents &events, qsizetype position, qsizetype end,
                                 EventSequence &sequence)
{
    const auto event = QByteArrayView(this->pending).sliced(position, end - position);
    this->otherResponseFound = this->otherResponseFound || holdsResponseHead(event);
    if (this->otherResponseFound || this->outOfSequence)
        return false;
    QByteArray id;
    const QByteArray data = readEvent(event, id);
    const bool dependsOnNext = sequence.dependsOnNext(id);
    const QByteArray nextId = dependsOnNext ? this->nextIdFrom(end) : QByteArray();
    this->isHolding = dependsOnNext && nextId.isEmpty() && !this->ended;
    if (this->isHolding)
        return false;
    this->outOfSequence = !sequence.acceptBefore(id, nextId);
    if (!this->outOfSequence)
        appendEvent(events, event, id, data);
    return true;
}

QByteArray EventStreamParser::nextIdFrom(qsizetype position)
{
    QByteArray id;
    position = std::max(position, this->idSearchedBytes);
    qsizetype end = endOfEvent(this->pending, position);
    while (end >= 0 && id.isEmpty()) {
        const auto event = QByteArrayView(this->pending).sliced(position, end - position);
        if (holdsResponseHead(event)) {
            this->otherResponseFound = true;
            break;
        }
        readEvent(event, id);
        position = end;
        end = endOfEvent(this->pending, position);
    }
    this->idSearchedBytes = position;
    return id;
}

} // namespace lacewingmux
