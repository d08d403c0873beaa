#pragma once

#include "callers/CallKind.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpField.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>

namespace lacewingmux::soak {

/** How the answer to a call ended at its caller. */
enum class CallEnd : std::uint8_t {
    Complete,
    Closed,    ///< the connection was closed in order before the end of the answer
    Reset,     ///< the connection was reset before
    Malformed, ///< bytes that are no answer
    Abandoned  ///< the caller closed the connection long after its deadline
};

[[nodiscard]] constexpr const char *nameOf(CallEnd end) noexcept
{
    constexpr const char *names[]{"complete", "closed", "reset", "malformed", "abandoned"};
    return names[static_cast<int>(end)];
}

/** One request of a caller and what came back of it. */
struct CallRecord
{
    QByteArray requestId;
    CallKind kind = CallKind::Turn;
    QByteArray vm; ///< the entry VM that read it
    TimerService::SteadyTime sentAt;
    TimerService::SteadyTime endedAt;
    std::chrono::milliseconds deadline{0};
    bool onKeptConnection = false;
    int events = 0;       ///< that the stream has in all
    int padding = 0;      ///< times that each event names the request again
    int resumedAfter = 0; ///< last event of the call that this one resumes
    CallEnd end = CallEnd::Complete;
    int status = 0; ///< 0 if no head came
    HttpFields fields;
    QByteArray body;
    QByteArray strayBytes; ///< that came behind the answer while no request was waiting

    [[nodiscard]] std::chrono::milliseconds duration() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(this->endedAt - this->sentAt);
    }
};

} // namespace lacewingmux::soak
