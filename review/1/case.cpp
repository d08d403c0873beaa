// A records VM is removed for good, and a new one comes at another address, in a system that has
// served turns for longer than their retention. Longer than catchUpS after it, another records VM
// loses its disk.

#include "../harness/Client.h"
#include "../harness/Fleet.h"
#include "../harness/Record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <atomic>
#include <csignal>
#include <thread>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int clients = 24;
constexpr double turnsPerSecond = 110;
constexpr double catchUp = 4.4;
constexpr seconds recovery{12};

struct Sent
{
    Clock::time_point at;
    bool served;
};

/** Returns the states of the records VMs in the view. */
std::string viewText(Fleet &fleet)
{
    const QJsonObject view =
            QJsonDocument::fromJson(
                    QByteArray::fromStdString(fleet.store.value("lacewingmux/records-groups")))
                    .object();
    std::string text = "view " + std::to_string(view["number"].toInteger());
    for (const QJsonValue member : view["members"].toArray())
        text += ", " + member["vm"].toString().toStdString() + " "
                + member["state"].toString().toStdString();
    return text;
}

void loseDisk(Vm &vm)
{
    vm.kill();
    vm.wipeDisk();
    sleepFor(0.5);
    vm.start();
}

double shareServed(const std::vector<Sent> &sent, Clock::time_point from, Clock::time_point until)
{
    int all = 0;
    int served = 0;
    for (const Sent &turn : sent) {
        if (turn.at < from || turn.at >= until)
            continue;
        ++all;
        served += turn.served ? 1 : 0;
    }
    Record::write("of %d turns sent from %.1f to %.1f s, %d were served", all,
                  Record::seconds(from), Record::seconds(until), served);
    return all == 0 ? 1.0 : static_cast<double>(served) / all;
}

bool ruleIsKept()
{
    Fleet fleet({"a", "a", "b", "c"}, configurationText());
    for (const char *zone : {"a", "b", "c"}) {
        for (int number = 0; number < 2; ++number)
            fleet.addReplica("i-" + std::string(zone) + std::to_string(number), "model", zone,
                             [](const Request &) {
                                 return Plan{2, milliseconds(2), milliseconds(5)};
                             });
    }
    fleet.start();
    const auto begin = Clock::now();

    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> ending{false};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            auto next = Clock::now() + milliseconds(9) * client;
            for (int number = client; !ending; ++number) {
                sleepUntil(next);
                next = std::max(
                        next
                                + std::chrono::duration_cast<Clock::duration>(
                                        std::chrono::duration<double>(clients / turnsPerSecond)),
                        Clock::now());
                Program program(seconds(10));
                program.maximumTokens = 4;
                const auto at = Clock::now();
                const Answer answer =
                        program.attempt(*fleet.fronts[static_cast<std::size_t>(number) % 4],
                                        std::string(24000, 'x') + "\n", newRequestId(), false);
                if (answer.status == 503)
                    sleepFor(std::min(0.5, retryAfter(answer).count() / 1000.0));
                const std::lock_guard lock(mutex);
                sent.push_back({at, answer.status == 200 && answer.complete});
            }
        });
    }
    std::thread observer([&] {
        std::string last;
        while (!ending) {
            const std::string text = viewText(fleet);
            if (text != last)
                Record::write("%s", text.c_str());
            last = text;
            sleepFor(0.1);
        }
    });
    sleepUntil(begin + milliseconds(81000));
    if (hasTrouble()) {
        fleet.records[0]->kill(); // for good
        sleepFor(2);
        fleet.addRecordsVm("a");
        sleepFor(catchUp + 0.6);
    }
    const auto finalFault = Clock::now();
    if (hasTrouble())
        loseDisk(*fleet.records[1]);
    const auto back = Clock::now();
    const auto judged = back + recovery;
    sleepUntil(judged + milliseconds(2500));
    ending = true;
    for (std::thread &thread : threads)
        thread.join();
    observer.join();
    const double before = shareServed(sent, finalFault - seconds(3), finalFault);
    const double after = shareServed(sent, judged, judged + seconds(2));
    return before < 0.25 || after >= 0.25;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, ruleIsKept);
}
