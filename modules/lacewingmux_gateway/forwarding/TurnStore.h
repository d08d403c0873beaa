#pragma once

#include "lacewingmux_gateway/forwarding/TurnAdmission.h"
#include "lacewingmux_gateway/forwarding/TurnRequest.h"

#include <QByteArray>

#include <cstdint>
#include <functional>

namespace lacewingmux {

/** Histories and budgets of programs, which outlive this VM. Callbacks come on a later turn of
    the loop or at once, always on the thread that called. */
class TurnStore
{
public:
    using AdmissionCallback = std::function<void(const TurnAdmission &)>;
    using StoredCallback = std::function<void(bool durable)>;

    TurnStore() = default;
    virtual ~TurnStore() = default;
    TurnStore(const TurnStore &) = delete;
    TurnStore &operator=(const TurnStore &) = delete;

    /** Looks up the chain and reserves the turn's tokens. */
    virtual void open(const TurnRequest &opening, AdmissionCallback callback) = 0;

    /** Keeps a turn that ended whole, and settles its reservation with the tokens handed out. */
    virtual void store(const TurnRequest &opening, const QByteArray &input,
                       const QByteArray &output, std::int64_t tokens, StoredCallback callback) = 0;

    /** Settles the reservation of a turn that isn't kept with the tokens handed out. */
    virtual void settle(const TurnRequest &opening, std::int64_t tokens) = 0;
};

} // namespace lacewingmux
