#include "lacewingmux_gateway/http/HttpText.h"

#include <boost/beast/http/status.hpp>

namespace lacewingmux {

namespace {

constexpr qsizetype typicalHeadBytes = 512;

void appendFields(QByteArray &text, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
}

/** Tells whether a request with an empty body still needs a Content-Length field. */
bool needsContentLength(const QByteArray &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

QByteArray reasonPhrase(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return QByteArray(reason.data(), static_cast<qsizetype>(reason.size()));
}

QByteArray requestHeadText(const QByteArray &method, const QByteArray &target,
                           const HttpFields &fields, qsizetype bodyBytes)
{
    QByteArray text;
    text.reserve(typicalHeadBytes + bodyBytes);
    text += method + ' ' + target + " HTTP/1.1\r\n";
    appendFields(text, fields);
    if (bodyBytes > 0 || needsContentLength(method))
        text += "Content-Length: " + QByteArray::number(bodyBytes) + "\r\n";
    text += "\r\n";
    return text;
}

QByteArray responseHeadText(int status, const QByteArray &reason, const HttpFields &fields)
{
    QByteArray text;
    text.reserve(typicalHeadBytes);
    text += "HTTP/1.1 " + QByteArray::number(status) + ' ' + reason + "\r\n";
    appendFields(text, fields);
    text += "\r\n";
    return text;
}

QByteArray encodeChunk(const QByteArray &bytes)
{
    return QByteArray::number(bytes.size(), 16) + "\r\n" + bytes + "\r\n";
}

QByteArray lastChunk()
{
    return QByteArrayLiteral("0\r\n\r\n");
}

} // namespace lacewingmux
