#pragma once

#include "lacewingmux_http/server/CallerRequest.h"

#include <QByteArray>

namespace lacewingmux {

/** A request without its credentials, and the key that it presented. */
struct FilteredRequest
{
    QByteArray presentedKey; ///< empty when none was presented
    CallerRequest request;
};

/**
    Parts a caller's key from its request, so that nothing behind the front ever sees it.

    A key is presented in "Authorization: Bearer", in "x-api-key", or in the query parameters
    "api_key" or "key", looked for in this order. All of these places are removed, whichever
    counts, and so is every other header or query parameter that contains a presented key, plain
    or percent-encoded.

    Throws LacewingmuxError with ErrorKind::MalformedRequest when the path or the body contains
    the key: they can't be changed, and must not go on.
*/
[[nodiscard]] FilteredRequest filterCredentials(CallerRequest request);

} // namespace lacewingmux
