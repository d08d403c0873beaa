#pragma once

#include <QByteArrayView>

namespace lacewingmux {

/** Tells whether the text of a server-sent event holds the head of a response, because the event
   was cut and what follows it was read as its end. That is a status line at the beginning of a
   line, or one anywhere with a line behind it that the format does not know. An event that quotes a
   head in its data, or has fields of its own, holds none. */
[[nodiscard]] bool holdsResponseHead(QByteArrayView event);

} // namespace lacewingmux
