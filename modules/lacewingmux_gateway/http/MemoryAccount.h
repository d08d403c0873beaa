#pragma once

#include <QtGlobal>

namespace lacewingmux {

/**
    Bounds the memory that many connections or calls take together.

    A share that is small is always allowed, so that a few large ones do not crowd out the others.
*/
class MemoryAccount
{
public:
    /** Creates the account with a limit in bytes. */
    explicit MemoryAccount(qsizetype limitBytes)
        : limit(limitBytes)
    { }

    /** Records that a share has grown or shrunk, in bytes; returns whether it may be kept. It is
        counted in either case, until it is resized to 0. */
    [[nodiscard]] bool resize(qsizetype before, qsizetype after)
    {
        this->used += after - before;
        return after <= alwaysAllowedBytes || this->used <= this->limit;
    }

    /** Returns the bytes that all shares take. */
    [[nodiscard]] qsizetype usedBytes() const noexcept
    {
        return this->used;
    }

    /** Above a head of the usual limit, and far above the usual responses. */
    static constexpr qsizetype alwaysAllowedBytes = qsizetype{32} * 1024;

private:
    qsizetype limit;
    qsizetype used = 0;
};

} // namespace lacewingmux
