/* A chain of turns that is longer than 16 MiB is kept, but no other front can continue it. */

#include "../harness-2/Deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t inputBytes = 3'686'400; // below maxBodyBytes, 4 MiB
constexpr int turns = 5;
constexpr int tries = 10;

std::string fieldsOf(const std::string &previous)
{
    return "Lacewingmux-Program-Id: p1\r\nLacewingmux-Session-Id: s1\r\n"
           "Lacewingmux-Program-Deadline-Ms: 60000\r\nLacewingmux-Token-Budget: 100000\r\n"
           "Lacewingmux-Token-Usage: 2000,100\r\n"
           + (previous.empty() ? std::string() : "Lacewingmux-Previous-Turn: " + previous + "\r\n");
}

bool reachedReplica(Deployment &deployment, const std::string &id)
{
    for (const auto &replica : deployment.models) {
        for (const Run &run : replica->runs()) {
            if (run.request == id)
                return true;
        }
    }
    return false;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    DeploymentSettings settings;
    settings.frontMemoryMb = 512;
    settings.storeMemoryMb = 512;
    Deployment deployment(settings, record);
    if (!deployment.start())
        deployment.finish(2);
    Daemon &front = *deployment.fronts.front();
    Caller caller(front.address());
    std::string previous;
    std::string history;
    for (int turn = 1; turn <= turns; ++turn) {
        const std::string id = newId();
        const std::string input(inputBytes, static_cast<char>('a' + turn));
        const Answer answer = caller.send("POST", "/turn/x", id, fieldsOf(previous), input, 5000);
        record.line("caller: turn %d %s: %d, %s", turn, id.c_str(), answer.status,
                    answer.isComplete ? "whole" : "not whole");
        if (answer.status != 200 || !answer.isComplete)
            deployment.finish(2);
        previous = id;
        history += input + answer.body;
    }
    record.line("caller: the turns so far take %zu bytes", history.size());
    caller.close();
    if (!isCalm()) {
        record.line("platform: SIGTERM to %s, which then starts again", front.name().c_str());
        front.signal(SIGTERM);
        if (!front.waitForEnd(8000))
            record.line("platform: SIGKILL after graceS");
        front.start();
        if (!waitUntilReady(front, 15000))
            deployment.finish(2);
        pauseMs(4000); // longer than contactMs
    }
    // The system is up again once first turns are served.
    int inARow = 0;
    for (int number = 0; number < 20 && inARow < 3; ++number) {
        Caller other(front.address());
        const std::string id = newId();
        const Answer answer = other.send("POST", "/turn/x", id,
                                         "Lacewingmux-Program-Id: p" + id
                                                 + "\r\nLacewingmux-Token-Budget: 1000\r\n"
                                                   "Lacewingmux-Token-Usage: 20,100\r\n",
                                         "begin", 5000);
        inARow = answer.status == 200 && answer.isComplete ? inARow + 1 : 0;
        pauseMs(200);
    }
    int reached = 0;
    int served = 0;
    int firstTurns = 0;
    for (int number = 1; number <= tries; ++number) {
        Caller next(front.address());
        const std::string id = newId();
        const Answer answer = next.send("POST", "/turn/x", id, fieldsOf(previous), "go on", 5000);
        reached += reachedReplica(deployment, id) ? 1 : 0;
        served += answer.status == 200 && answer.isComplete ? 1 : 0;
        record.line("caller: try %d to continue %s: %s: %d after %.0f ms, Retry-After %s, %s",
                    number, previous.c_str(), id.c_str(), answer.status,
                    (answer.endedAt - answer.sentAt) * 1000, answer.retryAfter.c_str(),
                    reachedReplica(deployment, id) ? "reached a replica" : "reached no replica");
        const std::string first = newId();
        const Answer other = next.send("POST", "/turn/x", first,
                                       "Lacewingmux-Program-Id: p" + first
                                               + "\r\nLacewingmux-Token-Budget: 1000\r\n"
                                                 "Lacewingmux-Token-Usage: 20,100\r\n",
                                       "begin", 5000);
        firstTurns += other.status == 200 && other.isComplete ? 1 : 0;
        record.line("caller: a first turn %s: %d", first.c_str(), other.status);
        pauseMs(answer.retryAfter.empty() ? 300
                                          : static_cast<int>(std::stod(answer.retryAfter) * 1000));
    }
    record.line("result: of %d tries to continue the turn %d reached a replica and %d were served; "
                "%d first turns were served",
                tries, reached, served, firstTurns);
    const bool broken = reached == 0;
    record.line("result: LOST %s", broken ? "broken" : "held");
    if (firstTurns < tries * 9 / 10)
        deployment.finish(2);
    deployment.finish(broken ? 1 : 0);
}
