// A conversation that is older than the retention of its first turn, and the entry VM that has
// served it is stopped and started again.

#include "../harness/Client.h"
#include "../harness/Fleet.h"
#include "../harness/Record.h"

#include <csignal>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool reachedReplica(const std::string &requestId)
{
    for (const Run &run : Replica::runs()) {
        if (run.requestId == requestId)
            return true;
    }
    return false;
}

/** Sends a first turn of another program; returns whether it reached a replica. */
bool sendFirstTurn(const Vm &vm)
{
    Program other(seconds(10));
    const std::string id = newRequestId();
    other.attempt(vm, "another question\n", id);
    return reachedReplica(id);
}

bool ruleIsKept()
{
    Fleet fleet({"a", "a", "b", "c"}, configurationText());
    for (const char *zone : {"a", "b", "c"}) {
        for (int number = 0; number < 2; ++number)
            fleet.addReplica("i-" + std::string(zone) + std::to_string(number), "model", zone,
                             [](const Request &) {
                                 return Plan{10, milliseconds(20)};
                             });
    }
    fleet.start();

    Program program(seconds(180));
    Vm *const served = fleet.frontOf("a");
    const auto begin = Clock::now();
    // A turn each ten seconds, through the same entry VM.
    for (int turn = 0; turn <= 8; ++turn) {
        sleepUntil(begin + seconds(10) * turn);
        const Answer answer =
                program.attempt(*served, "turn " + std::to_string(turn) + "\n", newRequestId());
        if (answer.status != 200 || !answer.complete)
            throw std::runtime_error("a turn before the disruption was not served");
    }

    sleepUntil(begin + seconds(83));
    if (hasTrouble())
        served->signal(SIGTERM);
    sleepUntil(begin + seconds(86));
    if (hasTrouble()) {
        if (!served->waitForEnd(seconds(5)))
            throw std::runtime_error("the entry VM did not stop");
        served->start();
    }
    Vm *const next = hasTrouble() ? fleet.frontOf("a", served) : served;
    if (next == nullptr)
        throw std::runtime_error("no entry VM is in rotation");
    Record::write("the last turn ended %.1f s ago; the program has %.0f s left",
                  Record::seconds() - Record::seconds(program.lastTurnEnded),
                  program.timeLeft().count() / 1000.0);

    // Three sends of the turn with two attempts each, as the page on programs has them.
    int tries = 0;
    bool reached = false;
    int firstTurns = 0;
    int firstTurnsServed = 0;
    for (int send = 0; send < 3 && !reached; ++send) {
        for (int attempt = 0; attempt < 2 && !reached; ++attempt) {
            const std::string id = newRequestId();
            const Answer answer = program.attempt(*next, "the next turn\n", id);
            ++tries;
            reached = reachedReplica(id);
            for (int other = 0; other < 2; ++other, ++firstTurns)
                firstTurnsServed += sendFirstTurn(*next) ? 1 : 0;
            sleepFor(std::max(0.3, retryAfter(answer).count() / 1000.0));
        }
    }
    Record::write("tries %d, reached a replica: %s; first turns %d, reached a replica %d", tries,
                  reached ? "yes" : "no", firstTurns, firstTurnsServed);
    // LOST, of turns: five tries or more, while nine tenths of first turns reach a replica.
    return reached || tries < 5 || firstTurnsServed * 10 < firstTurns * 9;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, ruleIsKept);
}
