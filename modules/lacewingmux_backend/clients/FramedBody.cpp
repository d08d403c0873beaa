#include "lacewingmux_backend/clients/FramedBody.h"

#include "lacewingmux_backend/clients/JsonBody.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"
#include "lacewingmux_gateway/http/StatusLine.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr int maximumQuotedResponses = 64; // bounds the work for a body that quotes many responses

/** Tells whether the text ends with the beginning of a status line. */
bool endsWithinStatusLine(const QByteArray &text)
{
    constexpr QByteArrayView versionPrefix = "HTTP/1.";
    constexpr qsizetype statusLineBytes = 12; // up to the status
    const qsizetype start = text.lastIndexOf('H');
    if (start < 0 || text.size() - start > statusLineBytes)
        return false;
    const QByteArrayView rest = QByteArrayView(text).sliced(start);
    return rest.startsWith(versionPrefix.first(std::min(rest.size(), versionPrefix.size())));
}

/** Tells whether the response with which the bytes begin ends behind them. */
bool continuesBehind(const QByteArray &bytes)
{
    ResponseDecoder decoder(false);
    decoder.append(bytes);
    return decoder.state() < DecodeState::Body
           || (decoder.state() == DecodeState::Body && !decoder.head().bodyEndsAtClose);
}

/** Tells whether the text ends within the header fields of a response. */
bool endsWithinHeadFields(const QByteArray &text)
{
    const qsizetype start = findStatusLine(text);
    if (start < 0)
        return false;
    ResponseDecoder decoder(false);
    decoder.append(text.mid(start));
    return decoder.state() == DecodeState::Head && text.indexOf("\r\n", start) >= 0;
}

/** Returns the id in the lines of a head that begin behind the position; empty if there is none.
   The empty line at the end of the head may be missing, as it may have been read as that of a
   chunk. */
QByteArray requestIdBehind(const QByteArray &text, qsizetype position)
{
    static constexpr QByteArrayView fieldName = "Lacewingmux-Request-Id";
    qsizetype lineEnd = text.indexOf("\r\n", position);
    while (lineEnd >= 0) {
        const qsizetype start = lineEnd + 2;
        lineEnd = text.indexOf("\r\n", start);
        const QByteArray line = text.mid(start, lineEnd < 0 ? -1 : lineEnd - start);
        const qsizetype colon = line.indexOf(':');
        if (colon <= 0)
            return {};
        if (line.first(colon).compare(fieldName, Qt::CaseInsensitive) == 0)
            return line.mid(colon + 1).trimmed();
    }
    return {};
}

/** Tells whether the head of a response to a request that the connection has carried begins in the
    body. */
bool holdsCarriedResponse(const QByteArray &body, const ReplicaConnection &connection)
{
    qsizetype start = findStatusLine(body);
    for (int found = 0; start >= 0 && found < maximumQuotedResponses; ++found) {
        const QByteArray id = requestIdBehind(body, start);
        if (!id.isEmpty() && !connection.distinguishes(id))
            return true;
        const qsizetype next = findStatusLine(QByteArrayView(body).sliced(start + 1));
        start = next < 0 ? next : start + 1 + next;
    }
    return false;
}

/** Tells whether another response was read as the end of the body: one that ends behind it, or one
    to a request that the connection has carried. */
bool holdsOtherResponse(const QByteArray &body, const ReplicaConnection &connection)
{
    if (holdsCarriedResponse(body, connection))
        return true;
    const auto namesRequest = [](const HttpResponseHead &head) {
        return !fieldValue(head.fields, "Lacewingmux-Request-Id").isEmpty();
    };
    const QByteArray text = body + connection.trailingBytes();
    qsizetype start = findResponse(text, namesRequest);
    for (int found = 0; start >= 0 && start < body.size() && found < maximumQuotedResponses;
         ++found) {
        if (continuesBehind(body.mid(start)))
            return true;
        start = findResponse(text, namesRequest, start + 1);
    }
    return connection.exchangeCount() > 1 && endsWithinHeadFields(body);
}

} // namespace

const char *framedBodyFault(const QByteArray &contentType, const QByteArray &body,
                            const ReplicaConnection &connection)
{
    // The server may send JSON that is broken, but not one that another answer ends.
    const bool isBrokenByOther = (findStatusLine(body) >= 0 || endsWithinStatusLine(body))
                                 && isBrokenJson(contentType, body);
    if (isBrokenByOther || (!body.isEmpty() && holdsOtherResponse(body, connection)))
        return "another answer follows in the body";
    return nullptr;
}

} // namespace lacewingmux
