#include "lacewingmux_experiment/policy/ChooserHooks.h"

#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_scheduling/naive/LeastReportedLoadChooser.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"

#include <memory>

namespace lacewingmux::experiment {

namespace {

ChooserHooks makeNaiveChooser()
{
    const auto chooser = std::make_shared<LeastReportedLoadChooser>();
    ChooserHooks hooks;
    hooks.setReplica = [chooser](const ReplicaDescriptor &replica) {
        chooser->setReplica(replica);
    };
    hooks.setState = [chooser](const QString &name, ReplicaState state) {
        chooser->setState(name, state);
    };
    hooks.reportLoad = [chooser](const QString &name, const LoadReport &report) {
        chooser->reportLoad(name, report);
    };
    hooks.setSendingVms = [](int) {};
    hooks.started = [](const QString &, TimerService::SteadyTime, bool) {};
    hooks.finished = hooks.started;
    hooks.choose = [chooser](const ChoiceRequest &,
                             std::mt19937_64 &) -> std::optional<ReplicaChoice> {
        const std::optional<QString> name = chooser->choose();
        return name ? std::optional(ReplicaChoice{*name, 0}) : std::nullopt;
    };
    return hooks;
}

} // namespace

ChooserHooks makeChooser(const Policy &policy)
{
    if (policy.naiveChooser)
        return makeNaiveChooser();
    const auto chooser = std::make_shared<ReplicaChooser>(policy.chooser);
    ChooserHooks hooks;
    hooks.setReplica = [chooser](const ReplicaDescriptor &replica) {
        chooser->setReplica(replica);
    };
    hooks.setState = [chooser](const QString &name, ReplicaState state) {
        chooser->setState(name, state);
    };
    hooks.reportLoad = [chooser](const QString &name, const LoadReport &report) {
        chooser->reportLoad(name, report);
    };
    hooks.setSendingVms = [chooser](int vms) { chooser->setSendingVms(vms); };
    hooks.started = [chooser](const QString &name, TimerService::SteadyTime now, bool suspect) {
        chooser->started(name, now, suspect);
    };
    hooks.finished = [chooser](const QString &name, TimerService::SteadyTime now, bool suspect) {
        chooser->finished(name, now, suspect);
    };
    hooks.choose = [chooser](const ChoiceRequest &request, std::mt19937_64 &random) {
        return chooser->choose(request, random);
    };
    return hooks;
}

} // namespace lacewingmux::experiment
