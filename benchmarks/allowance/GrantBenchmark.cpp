#include "lacewingmux_allowance/lacewingmux_allowance.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/journal/InMemoryJournal.h"

#include <benchmark/benchmark.h>

using namespace lacewingmux;

namespace {

std::shared_ptr<const Configuration> configurationWith(int teams)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = 1;
    for (int team = 0; team < teams; ++team) {
        Allowance allowance;
        allowance.plan = QString::number(team);
        allowance.requestsPerSecond = 1e6;
        allowance.burstRequests = 1e6;
        configuration->allowances.push_back(allowance);
        configuration->plans.push_back({allowance.plan, allowance.plan});
    }
    return configuration;
}

std::shared_ptr<const ShareTable> fullSharesOf(const Configuration &configuration)
{
    auto table = std::make_shared<ShareTable>();
    for (const TeamPlan &plan : configuration.plans)
        table->countersByItem[ShareItem::team(plan.team)] = {partsPerItem, 0, 0};
    return table;
}

/** Measures one grant: settling the last grant, request, debit, journal commit and reply. */
void grantOneToken(benchmark::State &state)
{
    const int teams = static_cast<int>(state.range(0));
    ManualTimerService timers;
    InMemoryPeerNetwork network(timers);
    const VmIncarnation self{QStringLiteral("vm"), QStringLiteral("zone"), 1};
    const auto hub = network.makeHub(self);
    InMemoryJournal journal(timers);
    IgnoringMetricsRecorder metrics;
    AllowanceOwner owner(journal, *hub, timers, metrics);
    const auto configuration = configurationWith(teams);
    owner.adoptConfiguration(configuration);
    owner.adoptShares(fullSharesOf(*configuration));
    timers.runPosted();

    int team = 0;
    std::uint64_t lastGrant = 0;
    for (auto iteration : state) {
        (void)iteration;
        const GrantRequest request{configuration->plans[static_cast<std::size_t>(team)].team,
                                   microTokensPerToken,
                                   microTokensPerToken,
                                   1,
                                   {{lastGrant, 0}}};
        owner.requestGrant(self, request,
                           [&lastGrant](const GrantReply &reply) { lastGrant = reply.grantId; });
        timers.advance(std::chrono::milliseconds(1));
        team = (team + 1) % teams;
    }
}

} // namespace

BENCHMARK(grantOneToken)->Arg(8)->Arg(80)->Arg(1300)->Unit(benchmark::kMicrosecond);
