#pragma once

#include "lacewingmux_program/owner/KeyedRequests.h"
#include "lacewingmux_program/owner/OneShotRequests.h"
#include "lacewingmux_program/owner/OwnerContext.h"
#include "lacewingmux_program/owner/ProgramCalls.h"
#include "lacewingmux_program/owner/ProgramLifecycle.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <memory>

namespace lacewingmux {

class Configuration;

/**
    Owns the programs and claims of the slots that this VM owns, on one traffic thread.

    Each decision is appended to the journal first; a call is dispatched, and a response sent, only
    once that entry is committed. The aggregates of a slot are rebuilt from the journal when the
    slot becomes active here and discarded when it is lost.
*/
class ProgramOwner final : public OwnerService
{
public:
    explicit ProgramOwner(OwnerEnvironment ownerEnvironment);
    ~ProgramOwner() override;

    /** Sets the configuration for all later decisions. */
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /**
        Begins a planned stop: running calls continue, and new work is refused with
        ErrorKind::ShuttingDown. The slots may be handed over once runningCount() is zero.
    */
    void beginDraining();

    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override;
    void callerGone(OwnerRequestHandle request) override;
    void withdrawKey(const QString &keyId) override;

    /** Returns how many programs are stored here: running, idle and ended. */
    [[nodiscard]] std::size_t programCount() const noexcept
    {
        return this->context.programs.size();
    }

    /** Returns how many programs are currently loaded, that is, rebuilt from their entries. */
    [[nodiscard]] std::size_t loadedProgramCount() const noexcept
    {
        return this->context.programs.loadedCount();
    }
    [[nodiscard]] std::size_t claimCount() const noexcept
    {
        return this->keyedRequests.size();
    }

    /** Returns how many calls and requests are running; a planned stop waits until it is zero. */
    [[nodiscard]] std::size_t runningCount() const noexcept
    {
        return this->calls.runCount() + this->oneShots.runCount() + this->keyedRequests.runCount();
    }
    [[nodiscard]] std::size_t pendingRequestCount() const noexcept
    {
        return this->context.requests.size();
    }

private:
    void connectCallbacks();
    void process(OwnerRequestHandle handle);
    void processProgramRequest(OwnerRequestHandle handle, const QString &programId);
    void processStandaloneRequest(OwnerRequestHandle handle);
    [[nodiscard]] Program &programFor(PendingRequest &pending, const QString &programId);
    void sendHistory(OwnerRequestHandle handle, const QString &programId);
    void handleTimeout(OwnerRequestHandle handle);
    void activateSlot(const std::vector<AggregateRecord> &records);
    void deactivateSlot(SlotIndex slot);

    OwnerContext context;
    ProgramCalls calls;
    ProgramLifecycle lifecycle;
    OneShotRequests oneShots;
    KeyedRequests keyedRequests;
    TimerSubscription sweepTimer;
    /** False once destroyed; disables pending callbacks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
