#pragma once

#include "lacewingmux_backend/clients/BackendResponse.h"

#include <QByteArray>

#include <functional>

namespace lacewingmux {

/** Callbacks of a call that runs on a backend server. */
struct BackendRunListener
{
    /** Receives complete server-sent events of a stream; may be null. */
    std::function<void(const QByteArray &events)> chunk;

    /** Called once, as the last callback. The run may be destroyed within it. Never called from
        within start(). */
    std::function<void(const BackendResponse &response)> finished;
};

/** A call that runs on a backend server. Destroying it closes its connection; the listener is not
    called afterwards. */
class BackendRun
{
public:
    BackendRun() = default;
    virtual ~BackendRun() = default;
    BackendRun(const BackendRun &) = delete;
    BackendRun &operator=(const BackendRun &) = delete;
};

} // namespace lacewingmux
