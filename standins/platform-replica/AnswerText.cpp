#include "platform-replica/AnswerText.h"

#include <QUrlQuery>

#include <algorithm>

namespace lacewingmux::standin {

namespace {

constexpr int batchSize = 4;

int numberOf(const QUrlQuery &query, const char *name)
{
    return query.queryItemValue(QLatin1String(name)).toInt();
}

QByteArray headText(const AnswerText::Source &source, const QByteArray &framing, bool closes)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLacewingmux-Request-Id: "
           + source.request + "\r\nLacewingmux-Server-Stamp: " + source.run + "\r\n" + source.fields
           + (closes ? "Connection: close\r\n" : "") + framing + "\r\n";
}

QByteArray lengthField(qsizetype length)
{
    return "Content-Length: " + QByteArray::number(length) + "\r\n";
}

QByteArray eventText(const AnswerText::Source &source, int number, int count, int padding)
{
    const QByteArray text = QByteArray::number(number);
    return "id: " + text + "\ndata: " + source.request + ' ' + source.run + ' ' + text + ' '
           + QByteArray::number(count) + (' ' + source.request).repeated(padding) + "\n\n";
}

std::vector<QByteArray> eventParts(const AnswerText::Source &source, const QUrlQuery &query,
                                   int eventsPerPart)
{
    std::vector<QByteArray> parts;
    const int count = numberOf(query, "events");
    for (int first = source.resumedAfter + 1; first <= count; first += eventsPerPart) {
        QByteArray part;
        for (int number = first; number < std::min(first + eventsPerPart, count + 1); ++number)
            part += eventText(source, number, count, numberOf(query, "padding"));
        parts.push_back(part);
    }
    if (parts.empty())
        parts.emplace_back(); // the caller had all events
    return parts;
}

} // namespace

AnswerText AnswerText::make(const Source &source, const QUrlQuery &query)
{
    AnswerText answer;
    if (numberOf(query, "events") == 0) {
        const QByteArray body = source.request + ' ' + source.run + '\n';
        answer.parts = {headText(source, lengthField(body.size()), source.closes), body};
        return answer;
    }
    const QString framing = query.queryItemValue(QStringLiteral("framing"));
    answer.endsAtClose = framing == QLatin1String("close");
    answer.eventsPerPart = framing == QLatin1String("batches") ? batchSize : 1;
    answer.parts = eventParts(source, query, answer.eventsPerPart);
    QByteArray framingField;
    if (framing == QLatin1String("length")) {
        framingField = lengthField(answer.whole().size());
    } else if (!answer.endsAtClose) {
        framingField = "Transfer-Encoding: chunked\r\n";
        for (QByteArray &part : answer.parts)
            part = QByteArray::number(part.size(), 16) + "\r\n" + part + "\r\n";
        answer.parts.back() += "0\r\n\r\n";
    }
    answer.parts.insert(answer.parts.begin(),
                        headText(source, framingField, source.closes || answer.endsAtClose));
    return answer;
}

QByteArray AnswerText::whole() const
{
    QByteArray text;
    for (const QByteArray &part : this->parts)
        text += part;
    return text;
}

} // namespace lacewingmux::standin
