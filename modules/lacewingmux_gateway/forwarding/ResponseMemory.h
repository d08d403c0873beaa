#pragma once

#include <QtGlobal>

namespace lacewingmux {

/**
    Bounds the memory that the unfinished responses of all calls take together.

    Small responses are always allowed, so that a few replicas that send bytes without end do not
    crowd out the others.
*/
class ResponseMemory
{
public:
    /** Creates the account with a limit in bytes. */
    explicit ResponseMemory(qsizetype limitBytes)
        : limit(limitBytes)
    { }

    /** Records that a response has grown or shrunk, in bytes; returns whether it may be kept. It is
        counted in either case, until it is resized to 0. */
    [[nodiscard]] bool resize(qsizetype before, qsizetype after)
    {
        this->used += after - before;
        return after <= alwaysAllowedBytes || this->used <= this->limit;
    }

    /** Returns the bytes that all responses take. */
    [[nodiscard]] qsizetype usedBytes() const noexcept
    {
        return this->used;
    }

    /** Far above the usual responses. */
    static constexpr qsizetype alwaysAllowedBytes = qsizetype{32} * 1024;

private:
    qsizetype limit;
    qsizetype used = 0;
};

} // namespace lacewingmux
