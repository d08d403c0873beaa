#pragma once

#include "lacewingmux_program/owner/CallRun.h"
#include "lacewingmux_program/owner/StandaloneRequest.h"

#include <map>
#include <memory>

namespace lacewingmux {

/**
    Runs idempotent requests outside programs: each is a program of one call that nobody can name
    again, so nothing of it is journaled and it ends with its caller.
*/
class OneShotRequests
{
public:
    explicit OneShotRequests(OwnerContext &ownerContext);
    OneShotRequests(const OneShotRequests &) = delete;
    OneShotRequests &operator=(const OneShotRequests &) = delete;
    ~OneShotRequests();

    /** Runs the request. Throws LacewingmuxError when a limit of the plan forbids it. */
    void run(OwnerRequestHandle handle, const CallCommand &command);

    /** Ends the run of a request, if it has one; the request then fails with the reason. */
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
        bool streamBroken = false;
    };

    [[nodiscard]] std::unique_ptr<Program> openProgram(const OwnerRequest &request) const;
    [[nodiscard]] DispatchListener listener(OwnerRequestHandle handle);
    void forwardChunk(OwnerRequestHandle handle, const QByteArray &chunk);
    void finish(OwnerRequestHandle handle, const DispatchResult &result);

    OwnerContext &context;
    std::map<OwnerRequestHandle, Run> runs;
    std::uint64_t nextSerial = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late callbacks with this
};

} // namespace lacewingmux
