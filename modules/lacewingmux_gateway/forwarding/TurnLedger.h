#pragma once

#include "lacewingmux_gateway/forwarding/TurnOpening.h"
#include "lacewingmux_gateway/forwarding/TurnStart.h"

#include <QByteArray>

#include <cstdint>
#include <functional>

namespace lacewingmux {

/** Histories and budgets of programs, which outlive this VM. Callbacks come on a later turn of
    the loop or at once, always on the thread that called. */
class TurnLedger
{
public:
    using StartCallback = std::function<void(const TurnStart &)>;
    using StoredCallback = std::function<void(bool durable)>;

    TurnLedger() = default;
    virtual ~TurnLedger() = default;
    TurnLedger(const TurnLedger &) = delete;
    TurnLedger &operator=(const TurnLedger &) = delete;

    /** Looks up the chain and reserves the turn's tokens. */
    virtual void open(const TurnOpening &opening, StartCallback callback) = 0;

    /** Keeps a turn that ended whole, and settles its reservation with the tokens handed out. */
    virtual void store(const TurnOpening &opening, const QByteArray &input,
                       const QByteArray &output, std::int64_t tokens, StoredCallback callback) = 0;

    /** Settles the reservation of a turn that isn't kept with the tokens handed out. */
    virtual void settle(const TurnOpening &opening, std::int64_t tokens) = 0;
};

} // namespace lacewingmux
