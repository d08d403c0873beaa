#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <vector>

namespace lacewingmux {

/**
    Returns the headers of a caller that may go on to a backend server: without those that
    concern one connection, those that the sending client sets itself, and the project's own.
*/
[[nodiscard]] std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader> &headers);

} // namespace lacewingmux
