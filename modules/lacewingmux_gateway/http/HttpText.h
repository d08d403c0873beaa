#pragma once

#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

namespace lacewingmux {

/** Returns the standard reason phrase of a status. */
[[nodiscard]] QByteArray reasonPhrase(int status);

/** Returns the serialised head of a request, with the length of its body. */
[[nodiscard]] QByteArray requestHeadText(const QByteArray &method, const QByteArray &target,
                                         const HttpFields &fields, qsizetype bodyBytes);

/** Returns a serialised status line and header fields, including the final empty line. */
[[nodiscard]] QByteArray responseHeadText(int status, const QByteArray &reason,
                                          const HttpFields &fields);

/** Returns the bytes encoded as one chunk of a chunked body. */
[[nodiscard]] QByteArray encodeChunk(const QByteArray &bytes);

/** Returns the last chunk, which ends a chunked body. */
[[nodiscard]] QByteArray lastChunk();

} // namespace lacewingmux
