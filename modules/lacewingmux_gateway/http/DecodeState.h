#pragma once

#include <cstdint>

namespace lacewingmux {

/** The progress of decoding one HTTP message. */
enum class DecodeState : std::uint8_t {
    Empty,        ///< no byte has been received
    Head,         ///< the head is incomplete
    Body,         ///< the head is complete, the body is not
    Complete,     ///< the message is complete
    Malformed,    ///< not valid HTTP; the start of the next message is unknown
    HeadTooLarge, ///< the head is longer than the limit
    BodyTooLarge  ///< the body is longer than the limit
};

} // namespace lacewingmux
