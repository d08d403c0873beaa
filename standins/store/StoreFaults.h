#pragma once

#include <QJsonObject>

#include <chrono>

namespace lacewingmux {

/** The faults that the stand-in of the store can be told to show. */
struct StoreFaults
{
    bool down = false;    ///< every call breaks its connection and is not applied
    bool closed = false;  ///< the service port is closed and every connection broken
    bool hanging = false; ///< connections are taken, and nothing is applied or answered
    std::chrono::milliseconds delay{0}; ///< from a call to its effect, and again to its reply
    int loseWriteReplies = 0;           ///< how many writes take effect without their reply

    /**
        Reads the faults from the fields "down", "closed", "hanging", "delayMs" and
        "loseWriteReplies"; a fault that is not named is off. Throws MalformedRequest.
    */
    [[nodiscard]] static StoreFaults fromJson(const QJsonObject &object);

    [[nodiscard]] QJsonObject toJson() const;
};

} // namespace lacewingmux
