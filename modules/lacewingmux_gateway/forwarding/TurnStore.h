#pragma once

#include "lacewingmux_gateway/forwarding/TurnAdmission.h"
#include "lacewingmux_gateway/forwarding/TurnRequest.h"

#include <QByteArray>

#include <cstdint>
#include <functional>

namespace lacewingmux {

/** Histories and budgets of programs, which outlive this VM. Callbacks are called immediately or
    from the event loop, always on the calling thread. */
class TurnStore
{
public:
    using AdmissionCallback = std::function<void(const TurnAdmission &)>;
    using StoredCallback = std::function<void(bool durable)>;

    /** Bytes of the input and output of the longest turn that is stored. It has to fit into a frame
        between VMs, with its names. */
    static constexpr qsizetype maximumTurnBytes = qsizetype{15} * 1024 * 1024;

    TurnStore() = default;
    virtual ~TurnStore() = default;
    TurnStore(const TurnStore &) = delete;
    TurnStore &operator=(const TurnStore &) = delete;

    /** Looks up the chain of previous turns and reserves the turn's tokens. */
    virtual void open(const TurnRequest &opening, AdmissionCallback callback) = 0;

    /** Stores a complete turn, and settles its reservation with the tokens delivered. A turn that
        is not durable yet is waited for until the deadline of its call. */
    virtual void store(const TurnRequest &opening, const QByteArray &input,
                       const QByteArray &output, std::int64_t tokens, StoredCallback callback) = 0;

    /** Settles the reservation of a turn that is not stored with the tokens delivered. */
    virtual void settle(const TurnRequest &opening, std::int64_t tokens) = 0;
};

} // namespace lacewingmux
