#include "simulation/RecordsFleet.h"

#include "lacewingmux_gateway/forwarding/QuotaRequest.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <criterion/criterion.h>

#include <deque>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr int entryVmCount = 7;
constexpr milliseconds interval{20}; // at which each entry VM wants to send a request
constexpr milliseconds window{4000};

/** Entry VMs that all prefer one replica, which has named a limit. */
class LimitedReplicaLoad
{
public:
    explicit LimitedReplicaLoad(double requestsPerSecond)
        : limit(requestsPerSecond)
        , fleet(3, entryVmCount)
    {
        this->replica.id = "i-1";
        this->replica.startMilliseconds = 7;
    }

    /** Lets all entry VMs ask for the replica without a pause. */
    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += interval) {
            for (auto &vm : this->fleet.entryVms) {
                QuotaRequest request = replicaQuotaRequest(this->replica, this->limit);
                request.mayWait = false;
                vm.quota->take(request, [this](const QuotaDecision &decision) {
                    if (decision.admitted)
                        this->recordSent();
                });
            }
            this->fleet.run(interval);
        }
    }

    double limit;
    RecordsFleet fleet;
    ReplicaInstance replica;
    int sent = 0;
    int mostInWindow = 0;

private:
    void recordSent()
    {
        const auto now = this->fleet.timers.now();
        this->inWindow.push_back(now);
        while (now - this->inWindow.front() >= window)
            this->inWindow.pop_front();
        this->mostInWindow = std::max(this->mostInWindow, static_cast<int>(this->inWindow.size()));
        ++this->sent;
    }

    std::deque<TimerService::SteadyTime> inWindow;
};

/** What a replica may get in the window: one and a half times its limit, and five requests. */
int allowedInWindow(double limit)
{
    return static_cast<int>(1.5 * limit * std::chrono::duration<double>(window).count()) + 5;
}

} // namespace

Test(replica_limit, holds_for_all_entry_vms_together)
{
    for (const double limit : {0.0, 0.5, 4.2, 9.1, 60.0}) {
        LimitedReplicaLoad load(limit);
        load.run(milliseconds(12000));
        cr_assert_leq(load.mostInWindow, allowedInWindow(limit), "limit %f: %d", limit,
                      load.mostInWindow);
        cr_assert_geq(load.sent, static_cast<int>(limit * 12.0 * 0.8), "limit %f: %d", limit,
                      load.sent);
    }
}

Test(replica_limit, holds_while_a_records_vm_is_lost_and_returns)
{
    LimitedReplicaLoad load(6.0);
    load.run(milliseconds(4000));
    for (const char *name : {"r1", "r2", "r3"}) {
        load.fleet.stopRecordsVm(QLatin1String(name), 0);
        load.run(milliseconds(3000));
        load.fleet.startRecordsVm(QLatin1String(name));
        load.run(milliseconds(4000));
    }
    cr_assert_leq(load.mostInWindow, allowedInWindow(6.0), "%d", load.mostInWindow);
}

Test(replica_limit, refuses_without_a_wait_while_no_records_vm_answers)
{
    LimitedReplicaLoad load(6.0);
    load.run(milliseconds(1000));
    for (const char *name : {"r1", "r2", "r3"})
        load.fleet.network.cut("e1", QLatin1String(name));
    QuotaRequest request = replicaQuotaRequest(load.replica, load.limit);
    request.mayWait = false;
    load.fleet.run(milliseconds(500)); // the tokens of the entry VM lapse
    bool refused = false;
    load.fleet.entryVms.front().quota->take(
            request, [&refused](const QuotaDecision &decision) { refused = !decision.admitted; });
    load.fleet.run(milliseconds(300));
    cr_assert(refused);
}
