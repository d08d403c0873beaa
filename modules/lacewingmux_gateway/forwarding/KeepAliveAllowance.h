#pragma once

#include <QtGlobal>

#include <chrono>

namespace lacewingmux {

/**
    Bounds what a replica may send in a stream besides the data of its events, as comments that keep
    the connection alive. The allowance grows while the stream lasts.

    Reads no clock: the age of the stream is a parameter.
*/
class KeepAliveAllowance
{
public:
    /** Counts bytes without data, of a stream that was requested the given time ago; returns
        whether they are within the allowance. */
    [[nodiscard]] bool take(qsizetype bytes, std::chrono::nanoseconds age)
    {
        this->taken += bytes;
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
        return this->taken <= initialBytes + bytesPerSecond * static_cast<qsizetype>(seconds);
    }

private:
    // A comment of 100 bytes, sent ten times a second, takes a quarter of it.
    static constexpr qsizetype bytesPerSecond = qsizetype{4} * 1024;
    static constexpr qsizetype initialBytes = qsizetype{128} * 1024;

    qsizetype taken = 0;
};

} // namespace lacewingmux
