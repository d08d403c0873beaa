#pragma once

#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/client/CallBudget.h"
#include "lacewingmux_keyvalue/client/PlatformStoreSettings.h"
#include "lacewingmux_keyvalue/client/ProbeQueue.h"

#include <QNetworkRequest>
#include <QUrlQuery>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace lacewingmux {

/** What the calls and watches of one daemon share: endpoints, budget, metrics and randomness. */
class StoreAccess
{
public:
    StoreAccess(TimerService &timerService, MetricsRecorder &metricsRecorder,
                PlatformStoreSettings storeSettings);
    StoreAccess(const StoreAccess &) = delete;
    StoreAccess &operator=(const StoreAccess &) = delete;

    /** Takes one call out of the budget and counts it; returns false when the budget is spent. */
    [[nodiscard]] bool takeCall(CallPriority priority, const char *path);

    /** Returns the request for the path, with a query if any, at the present endpoint. */
    [[nodiscard]] QNetworkRequest request(const char *path, const QUrlQuery &query = {}) const;

    /** Returns the number of the present endpoint. */
    [[nodiscard]] std::size_t endpoint() const noexcept
    {
        return this->currentEndpoint;
    }

    /** Moves on to the next endpoint, if the one that failed is still the present one. */
    void reportFailure(std::size_t failedEndpoint);

    /** Notes how a call of a watch ended: whether the store answered it, and the status, 0 without
       a reply. Tells the settings' hook when the store has become reachable or unreachable, and
        counts the calls while it is unreachable. */
    void noteResult(int status, bool answered);

    /** Treats the store as unreachable until it answers, without a call that failed. */
    void assumeUnreachable();

    /** Returns whether the store answered the last call, as far as is known. */
    [[nodiscard]] bool isReachable() const noexcept
    {
        return this->reachable;
    }

    /** Returns whether calls that were under way in the present or last outage may never get a
        reply; not after short ones in which the store rejected calls. */
    [[nodiscard]] bool mayCallsHang() const;

    /** Returns the queue in which watches wait to call the store while it is unreachable. */
    [[nodiscard]] ProbeQueue &probes() noexcept
    {
        return this->probeQueue;
    }

    /** Calls the hook each time the store answers again after it did not; ends when the returned
        token is destroyed. */
    [[nodiscard]] std::shared_ptr<void> addRecoveryHook(std::function<void()> hook);

    /** Returns when a watch was last answered, or nothing. */
    [[nodiscard]] std::optional<TimerService::SteadyTime> lastContact() const noexcept
    {
        return this->lastAnswer;
    }

    /** Returns a random number from 0 to 1. */
    [[nodiscard]] double random();

    [[nodiscard]] const PlatformStoreSettings &settings() const noexcept
    {
        return this->currentSettings;
    }
    [[nodiscard]] TimerService &timers() const noexcept
    {
        return this->timerService;
    }

private:
    void setReachable(bool isReachable);
    void countOutageCall(int status, bool answered);
    void callRecoveryHooks();

    TimerService &timerService;
    MetricsRecorder &metrics;
    PlatformStoreSettings currentSettings;
    CallBudget budget;
    std::size_t currentEndpoint = 0;
    bool reachable = true;
    bool hadUnansweredCall = false; ///< in the present or last outage
    TimerService::SteadyTime outageStart;
    TimerService::SteadyTime outageEnd;
    std::optional<TimerService::SteadyTime> lastAnswer;
    std::mt19937_64 generator;
    std::vector<std::weak_ptr<std::function<void()>>> recoveryHooks;
    ProbeQueue probeQueue;
};

} // namespace lacewingmux
