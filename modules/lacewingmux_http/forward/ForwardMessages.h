#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** The beginning of a forwarded answer. */
struct ForwardedHead
{
    int httpStatus = 0;
    std::vector<HttpHeader> headers;
};

/** One piece of a forwarded answer's body. */
struct ForwardedChunk
{
    std::uint32_t sequence = 0; ///< from 0
    QByteArray bytes;
};

/** The end of a forwarded answer. */
struct ForwardedEnd
{
    std::uint32_t chunkCount = 0;
};

} // namespace lacewingmux
