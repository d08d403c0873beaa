#include "lacewingmux_gateway/forwarding/EventStreamParser.h"

#include "lacewingmux_gateway/forwarding/EventSequence.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// Begins a status line, and no line of an event.
constexpr const char *httpVersionPrefix = "HTTP/1.";

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
    if (!id.isEmpty())
        events.lastId = id;
    if (!id.isEmpty() || !data.isEmpty())
        events.endsWithoutId = id.isEmpty();
}

} // namespace

StreamEvents EventStreamParser::append(const QByteArray &bytes, EventSequence &sequence)
{
    if (this->otherResponseFollows)
        return {};
    this->pending += bytes;
    StreamEvents events;
    qsizetype completeBytes = 0;
    for (qsizetype end = endOfEvent(this->pending, this->searchedBytes);
         end >= 0 && !this->outOfSequence && !this->isAtOtherResponse(completeBytes);
         end = endOfEvent(this->pending, completeBytes)) {
        if (this->cutAtOtherResponse(completeBytes, end - completeBytes))
            break;
        if (!this->addEvent(events, completeBytes, end, sequence))
            break;
        completeBytes = end;
    }
    this->pending.remove(0, completeBytes);
    if (this->isAtOtherResponse(0)) {
        this->otherResponseFollows = true;
        this->pending.clear();
    }
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

QByteArray EventStreamParser::nextIdFrom(qsizetype position) const
{
    QByteArray id;
    qsizetype end = endOfEvent(this->pending, position);
    while (end >= 0 && id.isEmpty() && !this->isAtOtherResponse(position)) {
        readEvent(QByteArrayView(this->pending).sliced(position, end - position), id);
        position = end;
        end = endOfEvent(this->pending, position);
    }
    return id;
}

bool EventStreamParser::isAtOtherResponse(qsizetype position) const
{
    return this->endsAtClose
           && QByteArrayView(this->pending).sliced(position).startsWith(httpVersionPrefix);
}

bool EventStreamParser::cutAtOtherResponse(qsizetype position, qsizetype eventBytes)
{
    if (!this->endsAtClose || !this->findResponse)
        return false;
    const qsizetype start = this->findResponse(this->pending.mid(position, eventBytes));
    if (start < 0)
        return false;
    this->pending.truncate(position + start);
    this->otherResponseFollows = true;
    return true;
}

} // namespace lacewingmux
