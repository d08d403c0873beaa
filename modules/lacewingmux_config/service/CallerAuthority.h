#pragma once

#include "lacewingmux_config/service/StoreContact.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>
#include <QString>

#include <memory>

namespace lacewingmux {

class Configuration;
class KeyRing;

/**
    Decides whose a presented key is, from an immutable snapshot; one for each traffic thread.

    A key is accepted when the ring holds it, its team has a plan, and this VM has heard of
    withdrawals recently enough for that plan (Allowance::serveWithoutStore).
*/
class CallerAuthority
{
public:
    /** The team and the public name of an accepted key. */
    struct Caller
    {
        QString team;
        QString keyId;
    };

    CallerAuthority(std::shared_ptr<const Configuration> acceptedConfiguration,
                    std::shared_ptr<const KeyRing> acceptedKeys,
                    std::shared_ptr<const StoreContact> storeContact);

    /**
        Returns the caller. Throws LacewingmuxError: KeyWithdrawn; Unauthenticated for an unknown
        key; NotPermitted when the team has no plan; StoreUnavailable when this VM has been out of
        touch for longer than the plan allows. All of them before anything was run.
    */
    [[nodiscard]] Caller authenticate(const QByteArray &presentedKey,
                                      TimerService::SteadyTime now) const;

private:
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const KeyRing> keys;
    std::shared_ptr<const StoreContact> contact;
};

} // namespace lacewingmux
