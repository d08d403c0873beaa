#include "lacewingmux_backend/clients/UnframedBody.h"

#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"

#include <QJsonDocument>
#include <QList>

namespace lacewingmux {

namespace {

bool isJson(const QByteArray &contentType)
{
    const QByteArray type = contentType.split(';').front().trimmed().toLower();
    return type == "application/json" || type.endsWith("+json");
}

/** Tells whether the text is JSON. It is parsed within an array, as QJsonDocument takes no document
    that is a number, a string or a literal. */
bool isWholeJson(const QByteArray &text)
{
    QJsonParseError error;
    (void)QJsonDocument::fromJson('[' + text + ']', &error);
    return error.error == QJsonParseError::NoError;
}

bool namesRequest(const HttpResponseHead &head)
{
    return !fieldValue(head.fields, "Lacewingmux-Request-Id").isEmpty();
}

} // namespace

const char *unframedBodyFault(const QByteArray &contentType, const QByteArray &body)
{
    if (body.isEmpty())
        return "the answer ended behind its head";
    if (isJson(contentType) && !isWholeJson(body))
        return "the answer's JSON body is not whole";
    if (findResponse(body, namesRequest) >= 0)
        return "another answer follows in the body";
    return nullptr;
}

} // namespace lacewingmux
