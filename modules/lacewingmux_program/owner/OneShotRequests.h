#pragma once

#include "lacewingmux_program/owner/CallRun.h"
#include "lacewingmux_program/owner/StandaloneRequest.h"

#include <map>
#include <memory>

namespace lacewingmux {

/**
    Runs idempotent requests outside programs: each is a program of a single call that has no id
    for later requests, so it is not journaled and is cancelled when its caller disconnects.
*/
class OneShotRequests
{
public:
    explicit OneShotRequests(OwnerContext &ownerContext);
    OneShotRequests(const OneShotRequests &) = delete;
    OneShotRequests &operator=(const OneShotRequests &) = delete;
    ~OneShotRequests();

    /** Runs the request. Throws LacewingmuxError if a limit of the plan does not allow it. */
    void run(OwnerRequestHandle handle, const CallCommand &command);

    /** Cancels the run of a request, if it has one; the request then fails with the reason. */
    void cancel(OwnerRequestHandle handle, ErrorKind reason);

    [[nodiscard]] std::size_t runCount() const noexcept
    {
        return this->runs.size();
    }

private:
    struct Run
    {
        std::unique_ptr<Program> program;
        DispatchHandle dispatch = 0;
        FinalEventBuffer finalEvent;
        bool streamed = false;
        bool streamInterrupted = false;
    };

    [[nodiscard]] std::unique_ptr<Program> openProgram(const OwnerRequest &request) const;
    [[nodiscard]] DispatchListener listener(OwnerRequestHandle handle);
    void forwardChunk(OwnerRequestHandle handle, const QByteArray &chunk);
    void finish(OwnerRequestHandle handle, const DispatchResult &result);

    OwnerContext &context;
    std::map<OwnerRequestHandle, Run> runs;
    std::uint64_t nextSerial = 1;
    /** False once destroyed; disables pending callbacks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
