#pragma once

#include <QJsonObject>
#include <QString>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** The faults that the stand-in of the store can be told to show. */
struct StoreFaults
{
    bool down = false;    ///< the port is closed and every connection broken
    bool hanging = false; ///< connections are taken, and nothing is applied or answered
    std::chrono::milliseconds delay{0}; ///< from a call to its effect, and again to its reply
    int loseWriteReplies = 0;           ///< how many writes take effect without their reply

    /**
        Takes over the fields that the object has: "down", "hanging", "delayMs" and
        "loseWriteReplies". Returns what is wrong with it, or nothing.
    */
    [[nodiscard]] std::optional<QString> update(const QJsonObject &object);

    [[nodiscard]] QJsonObject toJson() const;
};

} // namespace lacewingmux
