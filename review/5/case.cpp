// A request crashes each replica that runs it, and its caller sends it again and again.

#include "../harness/Client.h"
#include "../harness/Fleet.h"
#include "../harness/Record.h"

#include <atomic>
#include <cstdlib>
#include <set>
#include <thread>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds contact{3};
constexpr int sends = 16;
constexpr int usualPerSecond = 4;

bool ruleIsKept()
{
    Fleet fleet({"a", "a", "b", "c"}, configurationText());
    int incarnation = 0;
    for (const char *zone : {"a", "b", "c"}) {
        for (int number = 0; number < (*zone == 'c' ? 4 : 5); ++number) {
            Replica &replica =
                    fleet.addReplica("i-" + std::string(zone) + std::to_string(number), "desk",
                                     zone, [](const Request &request) {
                                         Plan plan{0, milliseconds(0), milliseconds(30)};
                                         plan.crashes = hasTrouble() && request.body == "poison";
                                         return plan;
                                     });
            replica.crashed = [&replica, &incarnation] {
                std::thread([&replica, next = ++incarnation] {
                    sleepFor(3);
                    replica.start("i-again-" + std::to_string(next));
                }).detach();
            };
        }
    }
    fleet.start();
    sleepFor(1);

    const char *load = ::getenv("CALLS_PER_S"); // to try other loads
    const double perSecond = load == nullptr ? usualPerSecond : std::atof(load);
    std::atomic<bool> ending{false};
    std::thread background([&] {
        for (int number = 0; !ending; ++number) {
            std::thread([&fleet, number] {
                sendCall(*fleet.fronts[static_cast<std::size_t>(number) % 4], "GET", "/look/status",
                         {}, {}, milliseconds(1200), newRequestId());
            }).detach();
            sleepFor(1.0 / perSecond);
        }
    });
    std::set<std::string> poisoned;
    for (int send = 0; send < sends; ++send) {
        const std::string id = newRequestId();
        poisoned.insert(id);
        sendCall(*fleet.fronts[static_cast<std::size_t>(send) % 4], "POST", "/book/order", {},
                 "poison", milliseconds(2000), id);
        sleepFor(4);
    }
    ending = true;
    background.join();

    int crashes = 0;
    int retries = 0;
    Clock::time_point third;
    for (const Run &run : Replica::runs()) {
        if (!poisoned.contains(run.requestId))
            continue;
        if (crashes >= 3 && run.began > third + contact)
            ++retries;
        if (run.crashed && ++crashes == 3)
            third = run.began + milliseconds(30);
    }
    Record::write("crashed replicas %d; retries that reached a replica later than 3 s after the "
                  "third crash: %d",
                  crashes, retries);
    return retries <= 3;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, ruleIsKept);
}
