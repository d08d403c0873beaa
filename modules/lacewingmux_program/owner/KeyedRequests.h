#pragma once

#include "lacewingmux_program/claims/RequestClaim.h"
#include "lacewingmux_program/owner/CallRun.h"
#include "lacewingmux_program/owner/StandaloneRequest.h"

#include <QHash>
#include <QString>

#include <array>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace lacewingmux {

/**
    Runs non-idempotent requests outside programs, each at most once: its claim is committed before
    it is dispatched, and its response is recorded and returned to repeated requests.
*/
class KeyedRequests
{
public:
    explicit KeyedRequests(OwnerContext &ownerContext);
    KeyedRequests(const KeyedRequests &) = delete;
    KeyedRequests &operator=(const KeyedRequests &) = delete;
    ~KeyedRequests();

    /**
        Handles a request with an idempotency key. Throws LacewingmuxError if the request is
        malformed, or if this VM is draining, does not own the slot of the key's claim or may have
        lost that claim.
    */
    void handle(OwnerRequestHandle handle);

    /** Restores a claim from the journal; one without an outcome gets the outcome "unknown". */
    void restore(const AggregateRecord &record);

    void deactivateSlot(SlotIndex slot);

    /** Cancels the runs of requests of the caller's key, where they may be cancelled. */
    void withdrawKey(const QString &keyId);

    /** Removes finished claims whose retention has expired. */
    void sweep();

    [[nodiscard]] std::size_t size() const noexcept;

    /** Returns how many requests have a claim but no committed outcome. */
    [[nodiscard]] std::size_t runCount() const noexcept;

private:
    struct Entry
    {
        RequestClaim claim;
        std::optional<CallRun> run;
        DispatchRequest dispatch; ///< empty once dispatched
    };
    using Entries = std::unordered_map<QString, Entry>;

    [[nodiscard]] Entry *find(const AggregateId &id);
    [[nodiscard]] Entry *findRun(const AggregateId &id, std::uint64_t serial);
    void executeDecision(OwnerRequestHandle handle, const AggregateId &id,
                         const CallCommand &command);
    void start(OwnerRequestHandle handle, const AggregateId &id, const CallCommand &command,
               const CallStarted &event);
    void dispatch(const AggregateId &id, std::uint64_t serial);
    void finish(const AggregateId &id, std::uint64_t serial, const DispatchResult &result);
    void completeRun(const AggregateId &id, std::uint64_t serial, const DispatchResult &result);
    void schedule(const AggregateId &id, const RequestClaim &claim);

    OwnerContext &context;
    std::array<Entries, slotsPerZone> slots;
    std::set<std::pair<EventTime, AggregateId>> expiries;
    std::uint64_t nextSerial = 1;
    /** False once destroyed; disables pending callbacks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
