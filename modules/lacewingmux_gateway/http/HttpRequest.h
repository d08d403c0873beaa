#pragma once

#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

namespace lacewingmux {

/** One complete HTTP/1.1 request. */
struct HttpRequest
{
    QByteArray method;
    QByteArray target; ///< as received in the request line
    HttpFields fields;
    QByteArray body; ///< without transfer framing
    bool keepAlive = true;
};

} // namespace lacewingmux
