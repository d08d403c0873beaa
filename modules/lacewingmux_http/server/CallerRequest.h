#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** One whole HTTP request as it came from a caller. */
struct CallerRequest
{
    QByteArray method; ///< in capitals
    QByteArray path;   ///< percent-encoded, beginning with "/"
    QByteArray query;  ///< percent-encoded, without "?"
    std::vector<HttpHeader> headers;
    QByteArray body;

    /** Returns the value of the first header with the name, without regard to case; or empty. */
    [[nodiscard]] QByteArray header(const QByteArray &name) const;
};

} // namespace lacewingmux
