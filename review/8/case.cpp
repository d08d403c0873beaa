/* What replicas have not read yet of turns with a long history is not bounded: the front takes more
   memory than its VM has, and the platform kills it with all that it serves. */

#include "../harness-2/Deployment.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace review;

namespace {

constexpr int programs = 32;
constexpr int turns = 20;                   // at most 22 in the site's long programs
constexpr std::size_t inputBytes = 100'000; // the largest request of the site
constexpr int helpers = 4;                  // sub-agents of a program, the site's largest number
constexpr int readingPace = 450'000;        // bytes a second of a replica that reads slowly

std::string fieldsOf(const std::string &program, const std::string &previous)
{
    return "Lacewingmux-Program-Id: " + program + "\r\nLacewingmux-Session-Id: " + program
           + "\r\nLacewingmux-Program-Deadline-Ms: 60000\r\nLacewingmux-Token-Budget: 1000000\r\n"
             "Lacewingmux-Token-Usage: 2000,100\r\n"
           + (previous.empty() ? std::string() : "Lacewingmux-Previous-Turn: " + previous + "\r\n");
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    DeploymentSettings settings;
    settings.modelReplicas = 9;
    settings.model.receiveBufferBytes = 65536;
    settings.model.eventCount = 18;
    settings.model.eventMs = 5;
    Deployment deployment(settings, record);
    if (!deployment.start())
        deployment.finish(2);
    Daemon &front = *deployment.fronts.front();

    // The platform: a process that uses more than memoryMb is killed and started again.
    std::atomic<bool> ended{false};
    std::atomic<int> kills{0};
    std::atomic<int> peakMb{0};
    std::thread platform([&] {
        while (!ended) {
            pauseMs(5);
            const double used = front.memoryMb();
            peakMb = std::max<int>(peakMb, static_cast<int>(used));
            if (used <= front.memoryLimitMb())
                continue;
            record.line("platform: %s uses %.0f MB of %d MB and is killed", front.name().c_str(),
                        used, front.memoryLimitMb());
            ++kills;
            front.kill();
            pauseMs(500);
            front.start();
        }
    });

    std::vector<std::string> last(programs);
    std::atomic<int> failures{0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(programs) * helpers);
    std::atomic<int> next{0};
    for (int worker = 0; worker < 4; ++worker)
        threads.emplace_back([&] {
            for (int program = next++; program < programs; program = next++) {
                Caller caller(front.address());
                int made = 0;
                for (int sent = 0; made < turns && sent < 2 * turns; ++sent) {
                    const std::string id = newId();
                    const Answer answer =
                            caller.send("POST", "/turn/x", id,
                                        fieldsOf("p" + std::to_string(program),
                                                 last[static_cast<std::size_t>(program)]),
                                        std::string(inputBytes, 'i'), 5000);
                    if (answer.status != 200 || !answer.isComplete)
                        continue;
                    last[static_cast<std::size_t>(program)] = id;
                    ++made;
                }
                failures += turns - made;
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    threads.clear();
    record.line("callers: %d programs have made %d turns each, %d failed; %s used %d MB at most",
                programs, turns, failures.load(), front.name().c_str(), peakMb.load());
    if (failures > 0 || kills > 0) {
        ended = true;
        platform.join();
        deployment.finish(2);
    }

    if (!isCalm()) {
        record.line("replicas: all read %d bytes a second from now on", readingPace);
        for (const auto &replica : deployment.models)
            replica->setReadingPace(readingPace);
    }
    pauseMs(500);
    peakMb = 0;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0};
    for (int program = 0; program < programs; ++program)
        for (int helper = 0; helper < helpers; ++helper) {
            threads.emplace_back([&, program] {
                Caller caller(front.address());
                const Answer before = caller.send("GET", "/safe/x", newId(), "", "", 1200);
                if (before.status != 200 || !caller.isConnected()) {
                    record.line(
                            "caller: the request before a helper's turn got %d, so it isn't sent",
                            before.status);
                    return;
                }
                const std::string id = newId();
                const Answer answer = caller.send("POST", "/turn/x", id,
                                                  fieldsOf("p" + std::to_string(program),
                                                           last[static_cast<std::size_t>(program)]),
                                                  "go on", 5000);
                bool passedOn = false;
                for (const auto &replica : deployment.models)
                    passedOn = passedOn || replica->hasArrived(id);
                record.line(
                        "caller: helper's turn %s on a kept connection: %d, %s, after %.0f ms, %s",
                        id.c_str(), answer.status, answer.isComplete ? "whole" : "cut off",
                        (answer.endedAt - answer.sentAt) * 1000,
                        passedOn ? "passed on to a replica" : "not passed on");
                ++sent;
                if (answer.status == 200 && answer.isComplete)
                    ++served;
                else if (answer.isComplete)
                    ++refused;
                else if (passedOn)
                    ++lost;
            });
            pauseMs(40);
        }
    for (std::thread &thread : threads)
        thread.join();
    ended = true;
    platform.join();
    record.line(
            "result: of %d turns sent on kept connections %d were served, %d refused, and %d "
            "passed "
            "on to a replica and closed without an answer; the front used %d MB of %d MB at most "
            "and was killed %d times",
            sent.load(), served.load(), refused.load(), lost.load(), peakMb.load(),
            front.memoryLimitMb(), kills.load());
    const bool broken = kills > 0 && lost > 3;
    record.line("result: LOST %s", broken ? "broken" : "held");
    deployment.finish(broken ? 1 : 0);
}
