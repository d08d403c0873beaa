#pragma once

#include "lacewingmux_backend/clients/BackendResponse.h"

#include <QByteArray>

#include <functional>

namespace lacewingmux {

/** What is told of a call that runs at a backend server. */
struct BackendRunListener
{
    /** Passes on whole server-sent events of a stream; may be null. */
    std::function<void(const QByteArray &events)> chunk;

    /** Called once, and last. The run may be destroyed within it. Never called from start(). */
    std::function<void(const BackendResponse &response)> finished;
};

/** A call that runs at a backend server. Destroying it closes its connection, and the listener
    is called no more. */
class BackendRun
{
public:
    BackendRun() = default;
    virtual ~BackendRun() = default;
    BackendRun(const BackendRun &) = delete;
    BackendRun &operator=(const BackendRun &) = delete;
};

} // namespace lacewingmux
