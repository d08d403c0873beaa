#pragma once

#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <functional>
#include <utility>

namespace lacewingmux {

/** Names one dispatched call. */
using DispatchHandle = std::uint64_t;

/** What the program's owner is told of a dispatched call; all on its own thread. */
struct DispatchListener
{
    std::function<void(const QString &replica)> started; ///< may come again after a safe retry
    std::function<void(const QByteArray &chunk)> chunk;  ///< only when streaming was asked for
    std::function<void(const DispatchResult &result)> finished; ///< once, and last
};

/**
    Queues cleared calls, chooses replicas and runs them. It knows no programs beyond what the
    request tells it; the owner has journaled the claim before it dispatches.
*/
class CallDispatcher
{
public:
    CallDispatcher() = default;
    virtual ~CallDispatcher() = default;
    CallDispatcher(const CallDispatcher &) = delete;
    CallDispatcher &operator=(const CallDispatcher &) = delete;

    /** Takes a call. The listener is never called before this returns. */
    virtual DispatchHandle dispatch(const DispatchRequest &request, DispatchListener listener) = 0;

    /**
        Ends a call early. A queued one finishes at once with Executed::No, a running idempotent
        one is cancelled at its replica; a running non-idempotent one goes on to its end.
    */
    virtual void cancel(DispatchHandle call, ErrorKind reason) = 0;

    /** Tells that a program has ended: its memory on the engines is released, with retries. */
    virtual void programEnded(const QString &program) = 0;

    /** Tells that a program pauses between calls, so its prefix may be kept, exported or dropped.
     */
    virtual void programPaused(const QString &program, std::int64_t prefixTokens) = 0;

    /** Sets who is told, on the owner's thread, when all engines have let go of an ended program.
     */
    void setReleaseHandler(std::function<void(const QString &program)> handler)
    {
        this->releaseHandler = std::move(handler);
    }

protected:
    /** To be called once no engine holds memory of the program that programEnded named. */
    void confirmRelease(const QString &program) const
    {
        if (this->releaseHandler)
            this->releaseHandler(program);
    }

private:
    std::function<void(const QString &program)> releaseHandler;
};

} // namespace lacewingmux
