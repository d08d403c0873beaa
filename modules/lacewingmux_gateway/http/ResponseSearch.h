#pragma once

#include <QByteArray>

#include <functional>

namespace lacewingmux {

struct HttpResponseHead;

/** Returns the position, at or behind the given one, of the first whole head of a response that the
    predicate accepts; -1 if there is none. Considers only 64 heads and 4096 bytes of each, which
    bounds the work for a body that quotes many responses. */
[[nodiscard]] qsizetype findResponse(const QByteArray &bytes,
                                     const std::function<bool(const HttpResponseHead &)> &predicate,
                                     qsizetype from = 0);

/** Returns the position of the head of a response in which the bytes end and which those that
    follow, if any have arrived, continue; -1 if there is none. Considers only the last 4096
    bytes. */
[[nodiscard]] qsizetype findCutHead(const QByteArray &bytes, const QByteArray &following = {});

} // namespace lacewingmux
