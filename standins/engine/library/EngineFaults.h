#pragma once

#include <QJsonObject>
#include <QString>

#include <chrono>

namespace lacewingmux::standin {

/** What goes wrong at an engine stand-in. All off by default. */
struct EngineFaults
{
    bool hang = false;                 ///< takes requests and advances none
    bool loseAnswer = false;           ///< runs the request to its end, then cuts the connection
    bool duplicateAnswer = false;      ///< sends each whole answer twice on its connection
    bool swapAnswers = false;          ///< gives two whole answers to each other's requests
    int slowFactor = 1;                ///< multiplies the time of each step
    int cutAfterTokens = 0;            ///< cuts streams after so many tokens; 0 for never
    int failOrders = 0;                ///< so many orders fail with status 500
    int loseOrderAnswers = 0;          ///< so many orders are carried out and not answered
    std::chrono::milliseconds delay{}; ///< waits before it sends a whole answer
    QString crashOnText{};             ///< a prompt that holds it ends the process

    /** Reads faults from JSON; a field left out is off. */
    [[nodiscard]] static EngineFaults fromJson(const QJsonObject &json);
};

} // namespace lacewingmux::standin
