#pragma once

#include "lacewingmux_gateway/forwarding/QuotaRequest.h"

#include <chrono>
#include <functional>

namespace lacewingmux {

/** Whether a request is within its team's quota. */
struct QuotaDecision
{
    bool admitted = false;
    std::chrono::milliseconds retryAfter{0};
};

/** Decides whether requests are within their team's rate and burst over all VMs together. */
class TeamQuota
{
public:
    using Callback = std::function<void(const QuotaDecision &)>;

    TeamQuota() = default;
    virtual ~TeamQuota() = default;
    TeamQuota(const TeamQuota &) = delete;
    TeamQuota &operator=(const TeamQuota &) = delete;

    /** Takes one request from the team's quota; the callback may be called immediately. */
    virtual void take(const QuotaRequest &request, Callback callback) = 0;

    /** Returns the quota of an admitted request that was never sent to a replica. */
    virtual void refund(const QuotaRequest &request) = 0;
};

} // namespace lacewingmux
