#pragma once

#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <functional>
#include <utility>

namespace lacewingmux {

/** Identifies one dispatched call. */
using DispatchHandle = std::uint64_t;

/** Callbacks for a dispatched call; all are called on the thread of the program's owner. */
struct DispatchListener
{
    std::function<void(const QString &replica)> started;        ///< called again after a safe retry
    std::function<void(const QByteArray &chunk)> chunk;         ///< only if streaming was requested
    std::function<void(const DispatchResult &result)> finished; ///< called once, last
    /** Called before the call is sent a second time, or long after the decision to run it; empty if
       that needs no permission. The function that it receives sends the call, and must be called
       only if the owner still is the owner: an owner that was paused may have been replaced, and
       its successor may have gone on to later calls. */
    std::function<void(std::function<void()> send)> confirmOwnership;
};

/**
    Queues admitted calls, selects replicas and runs the calls there. It knows about programs only
    what the request contains; the owner journals the claim before it dispatches a call.
*/
class CallDispatcher
{
public:
    CallDispatcher() = default;
    virtual ~CallDispatcher() = default;
    CallDispatcher(const CallDispatcher &) = delete;
    CallDispatcher &operator=(const CallDispatcher &) = delete;

    /** Dispatches a call. The listener is never called before this function returns. */
    virtual DispatchHandle dispatch(const DispatchRequest &request, DispatchListener listener) = 0;

    /**
        Cancels a call. A queued call finishes at once with Executed::No, a running idempotent call
        is cancelled at its replica, and a running non-idempotent call continues to its end.
    */
    virtual void cancel(DispatchHandle call, ErrorKind reason) = 0;

    /** Called when an agent has ended: releases its memory on the engines, with retries. */
    virtual void programEnded(const QString &program) = 0;

    /**
        Called when an agent pauses between calls. The engine's cache of its history, which has
        prefixTokens tokens, may then be kept, exported or dropped.
    */
    virtual void programPaused(const QString &program, std::int64_t prefixTokens) = 0;

    /** Sets the handler called on the owner's thread once all engines released a program. */
    void setReleaseHandler(std::function<void(const QString &program)> handler)
    {
        this->releaseHandler = std::move(handler);
    }

protected:
    /** Must be called once no engine holds memory of a program passed to programEnded. */
    void confirmRelease(const QString &program) const
    {
        if (this->releaseHandler)
            this->releaseHandler(program);
    }

private:
    std::function<void(const QString &program)> releaseHandler;
};

} // namespace lacewingmux
