#pragma once

#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

namespace lacewingmux {

/** Returns the standard reason phrase of a status. */
[[nodiscard]] QByteArray reasonPhrase(int status);

/** Returns the head of a request as it goes over the wire, with the length of its body. */
[[nodiscard]] QByteArray requestHeadText(const QByteArray &method, const QByteArray &target,
                                         const HttpFields &fields, qsizetype bodyBytes);

/** Returns a status line and fields as they go over the wire, up to the empty line. */
[[nodiscard]] QByteArray responseHeadText(int status, const QByteArray &reason,
                                          const HttpFields &fields);

/** Returns the bytes as one chunk of a chunked body. */
[[nodiscard]] QByteArray chunkOf(const QByteArray &bytes);

/** Returns the end of a chunked body. */
[[nodiscard]] QByteArray lastChunk();

} // namespace lacewingmux
