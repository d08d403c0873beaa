#pragma once

#include <QByteArrayView>

namespace lacewingmux {

/** Returns the position of the first status line of an HTTP/1 response within the text; -1 if there
    is none. A status line is known by its version and its status of three digits. */
[[nodiscard]] qsizetype findStatusLine(QByteArrayView text);

} // namespace lacewingmux
