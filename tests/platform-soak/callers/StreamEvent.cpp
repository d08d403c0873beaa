#include "callers/StreamEvent.h"

#include <QList>

namespace lacewingmux::soak {

namespace {

StreamEvent parseEvent(const QByteArray &text)
{
    StreamEvent event;
    event.text = text;
    const QList<QByteArray> lines = text.split('\n');
    const QList<QByteArray> data = lines.value(1).split(' ');
    if (lines.size() != 2 || data.size() < 5 || data[0] != "data:" || lines[0] != "id: " + data[3])
        return event;
    event.number = data[3].toInt();
    event.request = data[1];
    event.run = data[2];
    event.count = data[4].toInt();
    return event;
}

} // namespace

QByteArray StreamEvent::textOf(const QByteArray &request, const QByteArray &run, int number,
                               int count, int padding)
{
    const QByteArray text = QByteArray::number(number);
    return "id: " + text + "\ndata: " + request + ' ' + run + ' ' + text + ' '
           + QByteArray::number(count) + (' ' + request).repeated(padding);
}

std::vector<StreamEvent> StreamEvent::parseBody(const QByteArray &body)
{
    std::vector<StreamEvent> events;
    qsizetype begin = 0;
    for (qsizetype end = 0; (end = body.indexOf("\n\n", begin)) >= 0; begin = end + 2)
        events.push_back(parseEvent(body.mid(begin, end - begin)));
    if (begin < body.size()) {
        events.emplace_back();
        events.back().text = body.mid(begin);
    }
    return events;
}

int StreamEvent::lastNumber(const QByteArray &body)
{
    int last = 0;
    for (const StreamEvent &event : parseBody(body)) {
        if (event.number > 0)
            last = event.number;
    }
    return last;
}

} // namespace lacewingmux::soak
