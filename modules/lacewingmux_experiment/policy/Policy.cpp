#include "lacewingmux_experiment/policy/Policy.h"

#include <functional>

namespace lacewingmux::experiment {

Policy fullPolicy()
{
    Policy policy;
    policy.name = QStringLiteral("full");
    return policy;
}

Policy naivePolicy()
{
    Policy policy;
    policy.name = QStringLiteral("naive");
    policy.naiveQueue = true;
    policy.naiveChooser = true;
    policy.enginePriority = false;
    policy.retention = false;
    policy.releaseEnded = false;
    policy.quarantine = false;
    policy.retryBudget = false;
    policy.admissionControl = false;
    return policy;
}

std::vector<Policy> ablatedPolicies()
{
    std::vector<Policy> policies;
    const auto without = [&policies](const char *part,
                                     const std::function<void(Policy &)> &switchOff) {
        Policy policy = fullPolicy();
        policy.name = QStringLiteral("without %1").arg(QLatin1String(part));
        switchOff(policy);
        policies.push_back(policy);
    };
    without("fair teams", [](Policy &policy) { policy.queue.fairBetweenTeams = false; });
    without("least attained", [](Policy &policy) { policy.queue.leastAttainedFirst = false; });
    without("ageing", [](Policy &policy) { policy.queue.ageingTokensPerSecond = 0; });
    without("affinity", [](Policy &policy) { policy.chooser.prefixAffinity = false; });
    without("corrected reports", [](Policy &policy) { policy.chooser.correctReports = false; });
    without("two choices", [](Policy &policy) { policy.chooser.twoChoices = false; });
    without("guaranteed part", [](Policy &policy) { policy.chooser.guaranteedShare = false; });
    without("engine priority", [](Policy &policy) { policy.enginePriority = false; });
    without("retention", [](Policy &policy) { policy.retention = false; });
    without("release", [](Policy &policy) { policy.releaseEnded = false; });
    without("quarantine", [](Policy &policy) { policy.quarantine = false; });
    without("retry budget", [](Policy &policy) { policy.retryBudget = false; });
    without("admission control", [](Policy &policy) { policy.admissionControl = false; });
    return policies;
}

} // namespace lacewingmux::experiment
