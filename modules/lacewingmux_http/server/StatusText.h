#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

class LacewingmuxError;

/** Returns the reason phrase of an HTTP status, for example "Not Found". */
[[nodiscard]] const char *statusText(int httpStatus);

/** Returns the headers of an error answer: its type and, where a retry makes sense, Retry-After. */
[[nodiscard]] std::vector<HttpHeader> errorHeaders(const LacewingmuxError &error);

} // namespace lacewingmux
