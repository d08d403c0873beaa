#include "lacewingmux_backend/clients/EventStreamReader.h"

#include "lacewingmux_gateway/http/EventLines.h"

#include <QJsonDocument>
#include <QList>

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr char eventEnd[] = "\n\n";
constexpr qsizetype eventEndLength = 2;
constexpr char dataField[] = "data:";
constexpr qsizetype dataFieldLength = 5;

bool isFieldNameCharacter(char character)
{
    return QChar::isLetterOrNumber(static_cast<uchar>(character)) || character == '-'
           || character == '_';
}

/** Tells whether the line is a field, a comment or empty. A status line is none of them. */
bool isFieldOrComment(const QByteArray &line)
{
    const QByteArray name = line.split(':').front();
    return std::all_of(name.begin(), name.end(), isFieldNameCharacter);
}

StreamEvent parseEvent(const QByteArray &bytes)
{
    StreamEvent event;
    event.bytes = bytes;
    // The fields of a head look like those of an event.
    event.isValid = !holdsResponseHead(bytes);
    QByteArray data;
    const QList<QByteArray> lines = bytes.split('\n');
    for (const QByteArray &line : lines) {
        event.isValid = event.isValid && isFieldOrComment(line);
        if (line.startsWith(dataField))
            data += line.mid(dataFieldLength).trimmed();
    }
    event.isEnd = data == "[DONE]";
    if (event.isEnd || data.isEmpty())
        return event;
    const QJsonDocument document = QJsonDocument::fromJson(data);
    event.isValid = event.isValid && document.isObject();
    event.json = document.object();
    return event;
}

} // namespace

std::optional<std::int64_t> StreamEvent::sequenceNumber() const
{
    const QJsonValue value = this->json.value(QStringLiteral("sequence"));
    if (!value.isDouble())
        return std::nullopt;
    return value.toInteger();
}

std::vector<StreamEvent> EventStreamReader::append(const QByteArray &bytes)
{
    this->pending += bytes;
    this->pending.replace("\r\n", "\n");
    std::vector<StreamEvent> events;
    qsizetype start = 0;
    for (;;) {
        const qsizetype end = this->pending.indexOf(eventEnd, start);
        if (end < 0)
            break;
        events.push_back(parseEvent(this->pending.mid(start, end + eventEndLength - start)));
        start = end + eventEndLength;
    }
    this->pending.remove(0, start);
    return events;
}

} // namespace lacewingmux
