#pragma once

#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

namespace lacewingmux {

/** The status line and header fields of an HTTP/1.1 response. */
struct HttpResponseHead
{
    int status = 0;
    QByteArray reason;
    HttpFields fields;
    bool keepAlive = true;
    bool bodyEndsAtClose = false; ///< the body extends until the connection closes
};

} // namespace lacewingmux
