#include "lacewingmux_config/service/CallerAuthority.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

namespace lacewingmux {

CallerAuthority::CallerAuthority(std::shared_ptr<const Configuration> acceptedConfiguration,
                                 std::shared_ptr<const KeyRing> acceptedKeys,
                                 std::shared_ptr<const StoreContact> storeContact)
    : configuration(std::move(acceptedConfiguration))
    , keys(std::move(acceptedKeys))
    , contact(std::move(storeContact))
{ }

CallerAuthority::Caller CallerAuthority::authenticate(const QByteArray &presentedKey,
                                                      TimerService::SteadyTime now) const
{
    const KeyVerdict verdict = this->keys->authenticate(presentedKey);
    if (verdict.status == KeyStatus::Withdrawn)
        throw LacewingmuxError(ErrorKind::KeyWithdrawn, QStringLiteral("the key was withdrawn"));
    if (verdict.status != KeyStatus::Valid)
        throw LacewingmuxError(ErrorKind::Unauthenticated, QStringLiteral("the key is unknown"));
    const Allowance *allowance = this->configuration->allowanceOf(verdict.team);
    if (allowance == nullptr)
        throw LacewingmuxError(ErrorKind::NotPermitted,
                               QStringLiteral("team %1 has no plan").arg(verdict.team));
    if (!this->contact->permits(*allowance, now))
        throw LacewingmuxError(
                ErrorKind::StoreUnavailable,
                QStringLiteral("this VM has not heard of withdrawn keys for longer than the %1 s "
                               "that plan %2 allows")
                        .arg(allowance->serveWithoutStore.count())
                        .arg(allowance->plan));
    return {verdict.team, verdict.keyId};
}

} // namespace lacewingmux
