#include "lacewingmux_http/server/RequestHead.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QList>

#include <algorithm>
#include <optional>

namespace lacewingmux {

namespace {

constexpr int longestLengthDigits = 18;

LacewingmuxError malformed(const QString &message)
{
    return {ErrorKind::MalformedRequest, message};
}

qint64 parseLength(const QByteArray &value)
{
    const bool digitsOnly = !value.isEmpty() && value.size() <= longestLengthDigits
                            && std::all_of(value.begin(), value.end(),
                                           [](char digit) { return digit >= '0' && digit <= '9'; });
    if (!digitsOnly)
        throw malformed(QStringLiteral("Content-Length is not a number"));
    return value.toLongLong();
}

void readField(RequestHead &head, std::optional<qint64> &length, const QByteArray &name,
               const QByteArray &value)
{
    if (name == "content-length") {
        if (length.has_value())
            throw malformed(QStringLiteral("Content-Length is given twice"));
        length = parseLength(value);
    } else if (name == "transfer-encoding") {
        if (head.chunked || value.toLower() != "chunked")
            throw malformed(QStringLiteral("only the transfer encoding \"chunked\" is known"));
        head.chunked = true;
    } else if (name == "expect") {
        head.expectContinue = value.toLower() == "100-continue";
    } else if (name == "connection") {
        const QByteArray options = value.toLower();
        if (options.contains("close"))
            head.keepAlive = false;
        else if (options.contains("keep-alive"))
            head.keepAlive = true;
    } else if (name == "upgrade" && value.toLower() == "websocket") {
        throw malformed(QStringLiteral("WebSocket is not offered"));
    }
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
    const QList<QByteArray> lines = head.split('\n');
    if (lines.first().trimmed().endsWith("HTTP/1.0")) {
        parsed.chunkedAnswers = false;
        parsed.keepAlive = false;
    }
    for (const QByteArray &line : lines.mid(1)) {
        if (line.startsWith(' ') || line.startsWith('\t'))
            throw malformed(QStringLiteral("a header is folded over lines"));
        const qsizetype colon = line.indexOf(':');
        if (colon < 0 && !line.trimmed().isEmpty())
            throw malformed(QStringLiteral("a header has no colon"));
        if (colon > 0)
            readField(parsed, length, line.left(colon).trimmed().toLower(),
                      line.mid(colon + 1).trimmed());
    }
    if (length.has_value() && parsed.chunked)
        throw malformed(QStringLiteral("Content-Length and Transfer-Encoding exclude each other"));
    parsed.contentLength = length.value_or(0);
    if (parsed.chunked)
        parsed.keepAlive = false; // the library's reader of chunks is lax about their ends
    return parsed;
}

} // namespace lacewingmux
