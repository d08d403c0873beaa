#pragma once

#include <QString>

#include <chrono>

namespace lacewingmux::standin {

/** What goes wrong at a service stand-in. All off by default. */
struct ServiceFaults
{
    bool hang = false;                 ///< runs the request and never answers
    bool loseAnswer = false;           ///< runs the request, then cuts the connection
    bool duplicateAnswer = false;      ///< sends each answer twice
    std::chrono::milliseconds delay{}; ///< waits before it answers
    QString crashOnText{};             ///< a request whose body holds it ends the process
};

} // namespace lacewingmux::standin
