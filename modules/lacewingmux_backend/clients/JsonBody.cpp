#include "lacewingmux_backend/clients/JsonBody.h"

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

} // namespace

bool isBrokenJson(const QByteArray &contentType, const QByteArray &body)
{
    return isJson(contentType) && !isWholeJson(body);
}

} // namespace lacewingmux
