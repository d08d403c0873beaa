#pragma once

#include <cstdint>

namespace lacewingmux::standin {

/** How an answer is spoilt, if it is. */
enum class FaultKind : std::uint8_t {
    None,
    CutClosed,      ///< cut, then closed in order; reset if only the close marks its end
    CutReset,       ///< cut, then reset
    CutFilled,      ///< cut, with an earlier answer of the connection behind it, and not closed
    TwiceAtOnce,    ///< a copy of the answer right behind it
    CopyBehindNext, ///< a copy behind the next answer of the connection
    CopyBeforeNext, ///< a copy in front of the next answer of the connection
    CopyLater,      ///< a copy after a while, or in front of the next answer
    CutCopyBefore,  ///< a copy that is cut in front of the next answer of the connection
    NoAnswer,       ///< bytes that are no answer in place of it, then closed
    NoAnswerKept,   ///< bytes that are no answer in place of it, and not closed
    NoAnswerBefore, ///< bytes that are no answer in front of it
    NoAnswerBehind  ///< bytes that are no answer behind it
};

[[nodiscard]] constexpr const char *nameOf(FaultKind kind) noexcept
{
    constexpr const char *names[]{"",
                                  "cutClosed",
                                  "cutReset",
                                  "cutFilled",
                                  "twiceAtOnce",
                                  "copyBehindNext",
                                  "copyBeforeNext",
                                  "copyLater",
                                  "cutCopyBefore",
                                  "noAnswer",
                                  "noAnswerKept",
                                  "noAnswerBefore",
                                  "noAnswerBehind"};
    return names[static_cast<int>(kind)];
}

/** The fault of one answer. */
struct AnswerFault
{
    FaultKind kind = FaultKind::None;
    double part = 0;  ///< from 0 to 1: which part of the answer is cut
    double place = 0; ///< from 0 to 1: where in that part

    [[nodiscard]] bool cuts() const noexcept
    {
        return this->kind >= FaultKind::CutClosed && this->kind <= FaultKind::CutFilled;
    }
    [[nodiscard]] bool replaces() const noexcept
    {
        return this->kind == FaultKind::NoAnswer || this->kind == FaultKind::NoAnswerKept;
    }
};

} // namespace lacewingmux::standin
