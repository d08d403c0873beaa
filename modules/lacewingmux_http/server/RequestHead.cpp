#include "lacewingmux_http/server/RequestHead.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QByteArrayView>

#include <algorithm>
#include <optional>

namespace lacewingmux {

namespace {

constexpr int longestLengthDigits = 18;

LacewingmuxError malformed(const QString &message)
{
    return {ErrorKind::MalformedRequest, message};
}

bool isName(QByteArrayView text, const char *name)
{
    return text.compare(name, Qt::CaseInsensitive) == 0;
}

qint64 parseLength(QByteArrayView value)
{
    const bool digitsOnly = !value.isEmpty() && value.size() <= longestLengthDigits
                            && std::all_of(value.begin(), value.end(),
                                           [](char digit) { return digit >= '0' && digit <= '9'; });
    if (!digitsOnly)
        throw malformed(QStringLiteral("Content-Length is not a number"));
    return value.toByteArray().toLongLong();
}

void readConnection(RequestHead &head, QByteArrayView value)
{
    const QByteArray options = value.toByteArray().toLower();
    if (options.contains("close"))
        head.keepAlive = false;
    else if (options.contains("keep-alive"))
        head.keepAlive = true;
}

void readField(RequestHead &head, std::optional<qint64> &length, QByteArrayView name,
               QByteArrayView value)
{
    if (isName(name, "content-length")) {
        if (length.has_value())
            throw malformed(QStringLiteral("Content-Length is given twice"));
        length = parseLength(value);
    } else if (isName(name, "transfer-encoding")) {
        if (head.chunked || !isName(value, "chunked"))
            throw malformed(QStringLiteral("only the transfer encoding \"chunked\" is known"));
        head.chunked = true;
    } else if (isName(name, "expect")) {
        head.expectContinue = isName(value, "100-continue");
    } else if (isName(name, "connection")) {
        readConnection(head, value);
    } else if (isName(name, "upgrade") && isName(value, "websocket")) {
        throw malformed(QStringLiteral("WebSocket is not offered"));
    }
}

void readLine(RequestHead &head, std::optional<qint64> &length, QByteArrayView line)
{
    if (line.startsWith(' ') || line.startsWith('\t'))
        throw malformed(QStringLiteral("a header is folded over lines"));
    const qsizetype colon = line.indexOf(':');
    if (colon < 0 && !line.trimmed().isEmpty())
        throw malformed(QStringLiteral("a header has no colon"));
    if (colon > 0)
        readField(head, length, line.first(colon).trimmed(), line.sliced(colon + 1).trimmed());
}

} // namespace

qsizetype RequestHead::lengthIn(const QByteArray &bytes)
{
    qsizetype lineEnd = bytes.indexOf('\n');
    while (lineEnd >= 0) {
        const qsizetype next = lineEnd + 1;
        if (next < bytes.size() && bytes[next] == '\n')
            return next + 1;
        if (next + 1 < bytes.size() && bytes[next] == '\r' && bytes[next + 1] == '\n')
            return next + 2;
        lineEnd = bytes.indexOf('\n', next);
    }
    return 0;
}

RequestHead RequestHead::parse(const QByteArray &head)
{
    RequestHead parsed;
    std::optional<qint64> length;
    const QByteArrayView bytes(head);
    qsizetype lineEnd = bytes.indexOf('\n');
    if (bytes.first(std::max<qsizetype>(lineEnd, 0)).trimmed().endsWith("HTTP/1.0")) {
        parsed.chunkedAnswers = false;
        parsed.keepAlive = false;
    }
    while (lineEnd >= 0) {
        const qsizetype start = lineEnd + 1;
        lineEnd = bytes.indexOf('\n', start);
        if (lineEnd >= 0)
            readLine(parsed, length, bytes.sliced(start, lineEnd - start));
    }
    if (length.has_value() && parsed.chunked)
        throw malformed(QStringLiteral("Content-Length and Transfer-Encoding exclude each other"));
    parsed.contentLength = length.value_or(0);
    if (parsed.chunked)
        parsed.keepAlive = false; // the library's reader of chunks is lax about their ends
    return parsed;
}

} // namespace lacewingmux
