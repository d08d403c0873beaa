#pragma once

#include "lacewingmux_program/requests/OwnerService.h"

namespace lacewingmux {

class TimerService;

/**
    Stands before this VM's owner and, during a planned stop, sends new work away.

    What is running goes on to its end. A request for new work fails as OwnerUnavailable, upon
    which its front asks again until the next owner has taken over; reading goes on as before.
*/
class DrainingOwner final : public OwnerService
{
public:
    DrainingOwner(OwnerService &ownerService, TimerService &timerService);

    /** Sends new work away from now on. */
    void beginDrain() noexcept
    {
        this->draining = true;
    }

    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override;
    void callerGone(OwnerRequestHandle request) override;
    void withdrawKey(const QString &keyId) override;

private:
    OwnerService &owner;
    TimerService &timers;
    bool draining = false;
};

} // namespace lacewingmux
