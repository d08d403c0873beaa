#pragma once

#include "Http.h"

#include <string>

namespace review {

class Vm;

inline constexpr const char *apiKey = "3fexd9dnn2ctnfzs989a";

/** Returns a configuration with one team and four routes: /chat/ for turns that the system keeps,
    for 60 s as in all site files, /ask/ for streams that may be resumed, /look/ for safe calls and
    /book/ for calls that may run once. The team has no usage cap if the rate is 0. */
std::string configurationText(int requestsPerSecond = 182);

/** Sends a call of the team with a new id, or the given one, to an entry VM. */
Answer sendCall(const Vm &vm, const std::string &method, const std::string &target, Fields more,
                const std::string &body, std::chrono::milliseconds timeLeft,
                const std::string &requestId, bool isRecorded = true);

/** An agent program, which sends turns one after the other. */
class Program
{
public:
    explicit Program(std::chrono::milliseconds timeObjective, long tokenBudget = 100000);

    /** Sends an attempt of the next turn; a whole answer makes it the last turn. */
    Answer attempt(const Vm &vm, const std::string &input, const std::string &requestId,
                   bool isRecorded = true);

    [[nodiscard]] std::chrono::milliseconds timeLeft() const;
    const std::string id;
    const std::string session;
    const long budget;
    long maximumTokens = 120;
    std::string path = "/chat/turn"; ///< of the next turn
    std::string lastTurn;
    Clock::time_point lastTurnEnded;

private:
    Clock::time_point due;
};

/** Returns the value of Retry-After. */
std::chrono::milliseconds retryAfter(const Answer &answer);

} // namespace review
