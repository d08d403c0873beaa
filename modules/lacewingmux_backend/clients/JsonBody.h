#pragma once

#include <QByteArray>

namespace lacewingmux {

/** Tells whether a body is JSON by its content type and no whole JSON document. */
[[nodiscard]] bool isBrokenJson(const QByteArray &contentType, const QByteArray &body);

} // namespace lacewingmux
