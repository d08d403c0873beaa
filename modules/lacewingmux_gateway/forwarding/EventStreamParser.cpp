#include "lacewingmux_gateway/forwarding/EventStreamParser.h"

#include <algorithm>

namespace lacewingmux {

namespace {

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

/** Adds one complete event. */
void appendEvent(StreamEvents &events, QByteArrayView event)
{
    qsizetype start = 0;
    bool hasData = false;
    while (start < event.size()) {
        qsizetype end = start;
        while (end < event.size() && event[end] != '\n')
            ++end;
        QByteArrayView line = event.sliced(start, end - start);
        if (!line.isEmpty() && line.back() == '\r')
            line.chop(1);
        if (line.startsWith("data:")) {
            events.data += valueOf(line, 4);
            events.data += '\n';
            hasData = true;
        } else if (line.startsWith("id:")) {
            events.lastId = valueOf(line, 2).toByteArray();
        }
        start = end + 1;
    }
    if (hasData)
        ++events.count;
}

} // namespace

StreamEvents EventStreamParser::append(const QByteArray &bytes)
{
    this->pending += bytes;
    StreamEvents events;
    qsizetype completeBytes = 0;
    qsizetype searchStart = this->searchedBytes;
    for (qsizetype end = endOfEvent(this->pending, std::max(completeBytes, searchStart)); end >= 0;
         end = endOfEvent(this->pending, completeBytes)) {
        appendEvent(events,
                    QByteArrayView(this->pending).sliced(completeBytes, end - completeBytes));
        completeBytes = end;
    }
    events.text = this->pending.left(completeBytes);
    this->pending.remove(0, completeBytes);
    // The end of an event takes up to three bytes, some of which may be pending already.
    this->searchedBytes = std::max<qsizetype>(0, this->pending.size() - 3);
    return events;
}

} // namespace lacewingmux
