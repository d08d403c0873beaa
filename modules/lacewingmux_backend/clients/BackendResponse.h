#pragma once

#include "lacewingmux_backend/clients/BackendFailure.h"
#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** How one exchange with a backend server ended. */
struct BackendResponse
{
    BackendFailure failure = BackendFailure::None;
    Executed executed = Executed::Yes; ///< what is certain about the run
    QString message;                   ///< for a failure, for people

    int httpStatus = 0;
    std::vector<HttpHeader> headers; ///< without hop-by-hop fields and the body's length
    QByteArray body;
    std::int64_t inputTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t outputTokens = 0;

    [[nodiscard]] bool completed() const noexcept
    {
        return this->failure == BackendFailure::None;
    }
};

} // namespace lacewingmux
