#pragma once

#include "lacewingmux_backend/clients/BackendFailure.h"
#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** The outcome of one exchange with a backend server. */
struct BackendResponse
{
    BackendFailure failure = BackendFailure::None;
    Executed executed = Executed::Yes; ///< what is certain about the execution
    QString message;                   ///< human-readable description of a failure

    int httpStatus = 0;
    std::vector<HttpHeader> headers; ///< without hop-by-hop fields and Content-Length
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
