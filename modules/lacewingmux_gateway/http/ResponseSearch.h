#pragma once

#include <QByteArray>

#include <functional>

namespace lacewingmux {

struct HttpResponseHead;

/** Tells whether the bytes contain the whole head of a response for which the predicate holds. Only
    the first 64 heads and 4096 bytes of each are considered, which bounds the work for a body that
    quotes many responses. */
[[nodiscard]] bool containsResponse(const QByteArray &bytes,
                                    const std::function<bool(const HttpResponseHead &)> &predicate);

} // namespace lacewingmux
