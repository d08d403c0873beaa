#pragma once

#include <cstdint>

namespace lacewingmux {

/** How far the decoding of one HTTP message has come. */
enum class DecodeState : std::uint8_t {
    Empty,        ///< no byte has come
    Head,         ///< the head is incomplete
    Body,         ///< the head is known, the body is incomplete
    Complete,     ///< the message is whole
    Malformed,    ///< the bytes are no HTTP message; where the next one starts is unknown
    HeadTooLarge, ///< the head is longer than the limit
    BodyTooLarge  ///< the body is longer than the limit
};

} // namespace lacewingmux
