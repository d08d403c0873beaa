#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <algorithm>

namespace lacewingmux {

namespace {

/** Returns where the event that starts at the position ends, behind its empty line; -1 if it
    isn't whole. */
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

} // namespace

QByteArray StreamEvents::append(const QByteArray &bytes)
{
    this->pending += bytes;
    qsizetype whole = 0;
    qsizetype searched = this->searchedBytes;
    for (qsizetype end = endOfEvent(this->pending, std::max(whole, searched)); end >= 0;
         end = endOfEvent(this->pending, whole)) {
        this->readEvent(QByteArrayView(this->pending).sliced(whole, end - whole));
        whole = end;
    }
    QByteArray passed = this->pending.left(whole);
    this->pending.remove(0, whole);
    // The end of an event takes up to three bytes, of which some may have come.
    this->searchedBytes = std::max<qsizetype>(0, this->pending.size() - 3);
    return passed;
}

void StreamEvents::dropPartialEvent()
{
    this->pending.clear();
    this->searchedBytes = 0;
}

void StreamEvents::readEvent(QByteArrayView event)
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
            this->eventData += valueOf(line, 4);
            this->eventData += '\n';
            hasData = true;
        } else if (line.startsWith("id:")) {
            this->lastEventId = valueOf(line, 2).toByteArray();
        }
        start = end + 1;
    }
    if (hasData)
        ++this->eventCount;
}

} // namespace lacewingmux
