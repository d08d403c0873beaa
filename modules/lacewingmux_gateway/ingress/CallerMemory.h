#pragma once

#include <QtGlobal>

namespace lacewingmux {

/**
    Bounds the memory that the requests of all callers, and the responses that callers have not read
    yet, take together.

    A connection that takes little is always allowed, so that a few callers with long requests do
   not crowd out the others.
*/
class CallerMemory
{
public:
    /** Creates the account with a limit in bytes. */
    explicit CallerMemory(qsizetype limitBytes)
        : limit(limitBytes)
    { }

    /** Records that a connection takes more or fewer bytes than before; returns whether it may. It
        is counted in either case, until it is resized to 0. */
    [[nodiscard]] bool resize(qsizetype before, qsizetype after)
    {
        this->used += after - before;
        return after <= alwaysAllowedBytes || this->used <= this->limit;
    }

    /** Returns the bytes that all connections take. */
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
