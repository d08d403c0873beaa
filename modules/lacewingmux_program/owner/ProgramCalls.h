#pragma once

#include "lacewingmux_program/owner/CallRun.h"
#include "lacewingmux_program/owner/OwnerContext.h"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace lacewingmux {

struct DispatchRequest;

/**
    Runs the numbered calls of the programs: claims each call in the journal, dispatches it once the
    claim is committed, records its outcome, and responds once the outcome is committed. Calls that
    arrive early are queued until the earlier ones have finished.
*/
class ProgramCalls
{
public:
    explicit ProgramCalls(OwnerContext &ownerContext);
    ProgramCalls(const ProgramCalls &) = delete;
    ProgramCalls &operator=(const ProgramCalls &) = delete;
    ~ProgramCalls();

    /** Called when a call reached a limit that ends the program. */
    std::function<void(Program &program, ErrorKind reason)> onLimitReached;

    /** Called when a program changed, because its next deadline may have changed with it. */
    std::function<void(Program &program)> onChanged;

    /** Called when the running call of an ended agent has finished. */
    std::function<void(Program &program)> onIdleAfterEnd;

    /** Handles a request for a numbered call. */
    void call(OwnerRequestHandle handle, Program &program);

    /** Handles a request for the outcome of a call. */
    void fetch(OwnerRequestHandle handle, Program &program);

    /**
        Refuses a request for a numbered call. The error states "not run" only if no request has
        started the call by the time the backup has confirmed the ownership.
    */
    void refuse(OwnerRequestHandle handle, const LacewingmuxError &error);

    /** Resumes after a takeover: non-idempotent calls become unknown, idempotent ones run again. */
    void resume(Program &program);

    /** Cancels the running calls of ended agents and processes their queued calls again. */
    void cancelEndedAgents(Program &program, ErrorKind reason);

    /** Cancels and removes the runs and queues of a slot that this VM no longer owns. */
    void deactivateSlot(SlotIndex slot);

    /** Cancels the runs of calls of the caller's key, where they may be cancelled. */
    void withdrawKey(const QString &keyId);

    /** Returns how many calls have a claim but no committed outcome. */
    [[nodiscard]] std::size_t runCount() const noexcept
    {
        return this->runs.size();
    }

    /** Returns how many requests are queued behind an earlier call. */
    [[nodiscard]] std::size_t queuedCount() const noexcept;

private:
    struct AgentKey
    {
        QString root;
        AgentIndex agent = 0;

        friend bool operator<(const AgentKey &left, const AgentKey &right) noexcept
        {
            return std::tie(left.root, left.agent) < std::tie(right.root, right.agent);
        }
    };
    struct CallKey
    {
        QString root;
        AgentIndex agent = 0;
        std::uint32_t number = 0;

        friend bool operator<(const CallKey &left, const CallKey &right) noexcept
        {
            return std::tie(left.root, left.agent, left.number)
                   < std::tie(right.root, right.agent, right.number);
        }
    };
    /** Requests that wait for an earlier call, by their call number. */
    using Queue = std::multimap<std::uint32_t, OwnerRequestHandle>;

    [[nodiscard]] CallCommand parse(const OwnerRequest &request, const Program &program) const;
    void executeDecision(OwnerRequestHandle handle, Program &program, const CallCommand &command);
    void start(OwnerRequestHandle handle, Program &program, const CallStarted &event);
    void enqueue(OwnerRequestHandle handle, const AgentKey &agent, std::uint32_t number);
    void join(OwnerRequestHandle handle, Program &program, AgentIndex agent, std::uint32_t number);
    void dispatch(const CallKey &key, std::uint64_t serial);
    [[nodiscard]] DispatchRequest dispatchRequest(const Program &program, const CallStarted &start,
                                                  bool stream) const;
    [[nodiscard]] DispatchListener listener(const CallKey &key, std::uint64_t serial);
    void forwardChunk(const CallKey &key, std::uint64_t serial, const QByteArray &chunk);
    void finish(const CallKey &key, std::uint64_t serial, DispatchResult result);
    void completeRun(const CallKey &key, std::uint64_t serial, const DispatchResult &result);
    void respondToWaiters(const CallRun &run, const RecordedCall &call);
    void failOrRequeueWaiters(const CallRun &run, const CallKey &key, const DispatchResult &result);
    void retryQueued(const AgentKey &agent);
    void cancel(const CallKey &key, CallRun &run, ErrorKind reason);
    [[nodiscard]] CallRun *findRun(const CallKey &key, std::uint64_t serial);

    OwnerContext &context;
    std::map<CallKey, CallRun> runs;
    std::map<AgentKey, Queue> queues;
    std::uint64_t nextSerial = 1;
    /** False once destroyed; disables pending callbacks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
