/* Sub-agents that continue a long conversation after their front was restarted make all store
   machines take more memory than they have; the platform kills them. */

#include "../harness-2/Deployment.h"

#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t inputBytes = 4'000'000; // below maxBodyBytes, 4 MiB
constexpr int turns = 4;
constexpr int programs = 2;
constexpr int helpers = 4; // sub-agents of a program, the site's largest number

std::string fieldsOf(const std::string &program, const std::string &session,
                     const std::string &previous)
{
    return "Lacewingmux-Program-Id: " + program + "\r\nLacewingmux-Session-Id: " + session
           + "\r\nLacewingmux-Program-Deadline-Ms: 60000\r\nLacewingmux-Token-Budget: 100000\r\n"
             "Lacewingmux-Token-Usage: 2000,100\r\n"
           + (previous.empty() ? std::string() : "Lacewingmux-Previous-Turn: " + previous + "\r\n");
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    DeploymentSettings settings;
    settings.frontMemoryMb = 512;
    Deployment deployment(settings, record);
    if (!deployment.start())
        deployment.finish(2);
    Daemon &front = *deployment.fronts.front();

    // The platform: a process that uses more than memoryMb is killed and started again.
    std::atomic<bool> ended{false};
    std::atomic<int> kills{0};
    std::vector<std::unique_ptr<std::atomic<int>>> killsOf;
    for (std::size_t index = 0; index < deployment.records.size(); ++index)
        killsOf.push_back(std::make_unique<std::atomic<int>>(0));
    std::atomic<int> peakMb{0};
    std::atomic<int> frontPeakMb{0};
    std::vector<std::thread> platform;
    for (std::size_t index = 0; index < deployment.records.size(); ++index)
        platform.emplace_back([&, index, machine = deployment.records[index].get()] {
            while (!ended) {
                pauseMs(2);
                const double used = machine->memoryMb();
                peakMb = std::max<int>(peakMb, static_cast<int>(used));
                if (used <= machine->memoryLimitMb())
                    continue;
                record.line("platform: %s uses %.0f MB of %d MB and is killed",
                            machine->name().c_str(), used, machine->memoryLimitMb());
                ++kills;
                ++*killsOf[index];
                machine->kill();
                pauseMs(500);
                machine->start();
            }
        });
    platform.emplace_back([&] {
        while (!ended) {
            pauseMs(5);
            frontPeakMb = std::max<int>(frontPeakMb, static_cast<int>(front.memoryMb()));
        }
    });
    const auto stopPlatform = [&] {
        ended = true;
        for (std::thread &thread : platform)
            thread.join();
    };

    std::vector<std::string> last(programs);
    for (int program = 0; program < programs; ++program) {
        Caller caller(front.address());
        std::string &previous = last[static_cast<std::size_t>(program)];
        for (int turn = 1; turn <= turns; ++turn) {
            const std::string id = newId();
            const Answer answer = caller.send(
                    "POST", "/turn/x", id, fieldsOf("p" + std::to_string(program), "s", previous),
                    std::string(inputBytes, static_cast<char>('a' + turn)), 5000);
            record.line("caller: program %d, turn %d %s: %d, %s", program, turn, id.c_str(),
                        answer.status, answer.isComplete ? "whole" : "not whole");
            if (answer.status != 200 || !answer.isComplete || kills > 0) {
                stopPlatform();
                deployment.finish(2);
            }
            previous = id;
        }
    }
    record.line("platform: the store machines have used %d MB at most, the front %d MB",
                peakMb.load(), frontPeakMb.load());
    if (!isCalm()) {
        record.line("platform: SIGTERM to %s, which then starts again", front.name().c_str());
        front.signal(SIGTERM);
        front.waitForEnd(8000);
        front.start();
        if (!waitUntilReady(front, 15000)) {
            stopPlatform();
            deployment.finish(2);
        }
        pauseMs(4000); // longer than contactMs
    }
    int bystanders = 0;
    std::vector<std::atomic<bool>> done(static_cast<std::size_t>(programs) * helpers);
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    for (int round = 1; round <= 5; ++round) {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(programs) * helpers);
        for (int number = 0; number < programs * helpers; ++number) {
            if (done[static_cast<std::size_t>(number)])
                continue; // only those that failed try again
            threads.emplace_back([&, number] {
                Caller own(front.address());
                const int program = number % programs;
                const std::string id = newId();
                const Answer answer = own.send("POST", "/turn/x", id,
                                               fieldsOf("p" + std::to_string(program),
                                                        "h" + std::to_string(number),
                                                        last[static_cast<std::size_t>(program)]),
                                               "go on", 5000);
                record.line("caller: helper's turn %s: %d, %s, after %.0f ms", id.c_str(),
                            answer.status, answer.isComplete ? "whole" : "cut off",
                            (answer.endedAt - answer.sentAt) * 1000);
                done[static_cast<std::size_t>(number)] = answer.status == 200 && answer.isComplete;
                ++(done[static_cast<std::size_t>(number)] ? served : failed);
            });
        }
        pauseMs(300);
        Caller other(front.address());
        const Answer bystander =
                other.send("POST", "/turn/x", newId(),
                           fieldsOf("other" + std::to_string(round), "s", ""), "begin", 5000);
        record.line("caller: first turn of another program: %d", bystander.status);
        bystanders += bystander.status == 200 && bystander.isComplete ? 1 : 0;
        for (std::thread &thread : threads)
            thread.join();
        pauseMs(1500);
    }
    stopPlatform();
    record.line("result: %d turns of helpers were served, %d failed; of 5 first turns of other "
                "programs "
                "%d were served; the store machines used %d MB of %d MB at most",
                served.load(), failed.load(), bystanders, peakMb.load(), settings.storeMemoryMb);
    int machines = 0;
    for (std::size_t index = 0; index < deployment.records.size(); ++index) {
        record.line("result: %s was killed %d times", deployment.records[index]->name().c_str(),
                    killsOf[index]->load());
        machines += *killsOf[index] >= 3 ? 1 : 0;
    }
    // A tenth of the machines in use, two at least, end by themselves three times.
    const bool broken = machines >= 2;
    record.line("result: Fault %s", broken ? "broken" : "held");
    deployment.finish(broken ? 1 : 0);
}
