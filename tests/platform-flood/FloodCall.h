#pragma once

#include "FloodKind.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstdint>

namespace lacewingmux::flood {

/** One call to an entry VM. */
struct FloodCall
{
    /** What came back. */
    struct Outcome
    {
        int status = 0; ///< 0 if no head came in time
        bool isComplete = false;
        std::chrono::milliseconds duration{0};
    };

    QByteArray method;
    QByteArray path;
    QByteArray requestId;
    std::chrono::milliseconds deadline{0}; ///< named in the call
    bool isTurn = false;

    /** Returns a call that reaches the replicas of the kind. */
    [[nodiscard]] static FloodCall ofKind(const FloodKind &kind, const QByteArray &requestId);

    /** Returns a call whose replicas answer soundly and at once. */
    [[nodiscard]] static FloodCall usual(const QByteArray &requestId);

    /** Sends the call on a new connection and reads its answer until the limit, counted from now.
     */
    [[nodiscard]] Outcome perform(const QHostAddress &address, std::uint16_t port,
                                  std::chrono::milliseconds limit) const;

private:
    [[nodiscard]] QByteArray text() const;
};

} // namespace lacewingmux::flood
