#pragma once

#include <QByteArray>

namespace lacewingmux {

/** One header field of an HTTP request or response. */
struct HttpHeader
{
    QByteArray name;
    QByteArray value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

} // namespace lacewingmux
