#include "../harness-3/Caller.h"
#include "../harness-3/Replica.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

const char *const configuration =
        R"({"version":7,"routes":[{"name":"guide","host":"ficu95.example","prefix":"/guide/","type":"stream","timeoutMs":6000,"targetLatencyMs":250,"priority":0,"service":"lm","attempts":2,"retain":true,"retentionS":60.0,"public":false,"sticky":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"lm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":287659,"tokensPerEvent":2,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"],"priority":0,"ratePerS":182,"burst":182},{"name":"waro411","apiKeys":["nu6wsjnbanfqasnmgkcu"],"priority":0,"ratePerS":182,"burst":182}]})";

constexpr int programs = 20;
constexpr int turnsOfProgram = 2;
constexpr int eventsOfTurn = 20; // two tokens each, of the 40 that a turn may generate

std::string requestText(const std::string &key, const std::string &id, const std::string &program,
                        const std::string &previous, const std::string &input)
{
    return "POST /guide/turn HTTP/1.1\r\nHost: ficu95.example\r\nLacewingmux-Request-Id: " + id
           + "\r\nLacewingmux-Program-Id: " + program + "\r\nLacewingmux-Session-Id: s-" + program
           + "\r\nLacewingmux-Program-Deadline-Ms: 30000\r\nLacewingmux-Token-Budget: 80\r\n"
             "Lacewingmux-Token-Usage: 60,40\r\nLacewingmux-Model: m\r\nLacewingmux-Deadline-Ms: "
             "6000\r\nAuthorization: Token "
           + key + "\r\n"
           + (previous.empty() ? "" : "Lacewingmux-Previous-Turn: " + previous + "\r\n")
           + "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    Fleet fleet;
    fleet.store.put("op/config", configuration);
    if (!fleet.start(4))
        return 2;
    const std::vector<std::string> zones{"ww-one", "ww-two", "ww-three"};
    const auto engine = [](Replica &replica, const Served &served) {
        record.line("replica " + replica.id() + " runs " + served.id + " of tenant "
                    + served.request.field("Lacewingmux-Tenant"));
        std::string text =
                replica.head("200 OK", served.id,
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        for (int event = 1; event <= eventsOfTurn; ++event) {
            const std::string line = "id: " + std::to_string(event) + "\ndata: word\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", line.size());
            text += size + line + "\r\n";
        }
        return writeAll(served.connection, text + "0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (std::size_t number = 0; number < 6; ++number) {
        replicas.push_back(std::make_unique<Replica>(fleet.store, "lm", zones[number % 3], 64,
                                                     "127.0.0.1", engine));
        if (!replicas.back()->start())
            return 2;
    }
    if (!fleet.waitUntilReady(20))
        return 2;
    sleepFor(3);
    record.line("all entry VMs are ready");
    std::atomic<int> sent{0};
    std::atomic<int> denied{0};
    std::atomic<int> served{0};
    // The programs of a tenant have the ids 000001, 000002 and so on, each with a budget for two
    // turns.
    const auto play = [&](const std::string &tenant, const std::string &key, bool isJudged) {
        std::vector<std::thread> threads;
        for (int number = 1; number <= programs; ++number)
            threads.emplace_back([&, number] {
                char program[8];
                std::snprintf(program, sizeof program, "%06x", number);
                std::string previous;
                for (int turn = 0; turn < turnsOfProgram; ++turn) {
                    const std::string id = newId();
                    Caller caller(fleet.fronts[static_cast<std::size_t>(number + turn) % 4]->ip);
                    record.line(joined(
                            {"tenant ", tenant, " sends ", id, " of its program ", program}));
                    const Answer answer = caller.call(
                            requestText(key, id, program, previous, "turn of " + tenant), 6.5);
                    record.line(joined({"tenant ", tenant, " gets ", std::to_string(answer.status),
                                        ", ", answer.end, " for ", id, " ",
                                        answer.status == 200 ? "" : answer.body.c_str()}));
                    previous = id;
                    if (isJudged) {
                        ++sent;
                        denied += answer.status == 402 ? 1 : 0;
                        served += answer.status == 200 ? 1 : 0;
                    }
                    if (answer.status != 200)
                        return;
                    sleepFor(1.5); // more than settleMs
                }
            });
        for (std::thread &thread : threads)
            thread.join();
    };
    if (isTroubled())
        play("hule930", "3fexd9dnn2ctnfzs989a", false);
    play("waro411", "nu6wsjnbanfqasnmgkcu", true);
    const std::string ended = fleet.endedByItself();
    if (!ended.empty())
        record.line("daemons that ended by themselves: " + ended);
    const std::string result = "turns of waro411: " + std::to_string(sent) + " sent, "
                               + std::to_string(served) + " served, " + std::to_string(denied)
                               + " ended with 402 though no turn of the program had run";
    record.line(result);
    std::cout << result << std::endl;
    fleet.end();
    ::_exit(denied > 5 + sent / 500 ? 1 : 0);
}
