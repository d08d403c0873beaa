#include "lacewingmux_scheduling/admission/TurnPriority.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr int urgentCall = 0;
constexpr int toolCall = 1;
constexpr int otherCall = 2;
constexpr int firstStream = 3;
constexpr int ranksPerSlackClass = 2;  // programs in progress, then new ones
constexpr int streamWithoutTarget = 5; // what a replica assumes for a request without a priority
// Not the last rank: in a replayed overload of 60 s, turns of late programs that came after all
// others waited for 27 s.
constexpr int lateProgram = 8;
constexpr int lateNewProgram = 9;
constexpr int highestLateRank = 5;

// Slack in units of the expected time of the turn. A program has 3 to 11 turns, its pauses take
// about as long as half of a turn each, and its target leaves half of its own time: a program with
// little slack has no more than two turns left, one with much slack is a long one near its start.
constexpr double littleSlack = 4.0;
constexpr double muchSlack = 10.0;
// Slack that each level below the most urgent adds, so that more urgent teams come first.
constexpr double slackPerLevel = 0.5;
// A burst lasts 4 to 6 s: a late program rises to the rank of one with slack within it.
constexpr milliseconds agingStep{400};

} // namespace

int TurnPriority::of(const TurnPriorityRequest &request)
{
    return request.isStream ? ofStream(request) : ofPlainCall(request);
}

int TurnPriority::ofPlainCall(const TurnPriorityRequest &request)
{
    if (request.level <= 0)
        return urgentCall;
    const int rank = request.inProgram && !isLate(request) ? toolCall : otherCall;
    return std::max(toolCall, rank - agingRanks(request));
}

int TurnPriority::ofStream(const TurnPriorityRequest &request)
{
    if (isLate(request))
        return std::max(highestLateRank, (request.startsProgram ? lateNewProgram : lateProgram)
                                                 - agingRanks(request));
    return std::max(firstStream, streamRank(request) - agingRanks(request));
}

int TurnPriority::streamRank(const TurnPriorityRequest &request)
{
    if (!request.programTimeLeft)
        return request.level <= 0 ? streamWithoutTarget - 1 : streamWithoutTarget;
    const auto expected =
            static_cast<double>(std::max(milliseconds(1), request.expectedTime).count());
    const auto timeLeft = static_cast<double>(request.programTimeLeft->count());
    const double slack = timeLeft / expected - 1.0 + slackPerLevel * std::max(0, request.level);
    const int slackClass = (slack < littleSlack ? 0 : 1) + (slack < muchSlack ? 0 : 1);
    return firstStream + ranksPerSlackClass * slackClass + (request.startsProgram ? 1 : 0);
}

bool TurnPriority::isLate(const TurnPriorityRequest &request)
{
    return request.programTimeLeft && *request.programTimeLeft < request.expectedTime;
}

int TurnPriority::agingRanks(const TurnPriorityRequest &request)
{
    const milliseconds overdue = -request.programTimeLeft.value_or(milliseconds(0));
    const milliseconds waited = std::max(request.waited, overdue);
    constexpr milliseconds enough = agingStep * lateNewProgram;
    return static_cast<int>(std::clamp(waited, milliseconds(0), enough) / agingStep);
}

} // namespace lacewingmux
