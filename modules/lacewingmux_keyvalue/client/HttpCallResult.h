#pragma once

#include <QJsonObject>

namespace lacewingmux {

/** How one HTTP call to the store ended. */
struct HttpCallResult
{
    int status = 0;        ///< 0 when no whole answer came
    bool bodySent = false; ///< whether any part of the request's body was handed to a connection
    QJsonObject body;      ///< empty when the answer was no JSON object
};

} // namespace lacewingmux
