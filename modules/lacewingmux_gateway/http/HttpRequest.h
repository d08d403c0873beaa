#pragma once

#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

namespace lacewingmux {

/** One whole HTTP/1.1 request. */
struct HttpRequest
{
    QByteArray method;
    QByteArray target; ///< as it stood in the request line
    HttpFields fields;
    QByteArray body; ///< without its framing
    bool keepAlive = true;
};

} // namespace lacewingmux
