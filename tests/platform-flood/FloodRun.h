#pragma once

#include "FloodCall.h"
#include "FloodFleet.h"
#include "FloodKind.h"
#include "FloodSettings.h"

#include <QHostAddress>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <vector>

namespace lacewingmux::flood {

/** Plays one kind and checks what it does to the entry VM and to the calls of other services. */
class FloodRun
{
public:
    FloodRun(FloodSettings floodSettings, FloodKind floodKind);

    /** Plays it and prints one line; returns whether all limits were kept. */
    [[nodiscard]] bool perform();

private:
    struct Result
    {
        qint64 memoryKilobytes = 0; ///< highest resident size of the entry VM; 0 if it has ended
        int calls = 0;
        int unanswered = 0;
        std::map<int, int> statuses;
        int usualCalls = 0;
        int usualNotServed = 0;
        std::chrono::milliseconds slowestUsual{0};
    };

    void playCalls();
    void callOneAfterTheOther(int caller);
    void sendUsualCalls();
    void performUsualCall(int number);
    /** Returns whether the caller has got an answer, or the begin of a stream. */
    [[nodiscard]] bool isAnswered(const FloodCall::Outcome &outcome) const;
    [[nodiscard]] bool isWithinLimits() const;
    void print(bool isKept) const;

    FloodSettings settings;
    FloodKind kind;
    QHostAddress address; ///< of the entry VM
    std::atomic<bool> isFlooding{true};
    std::mutex mutex;
    Result result;
};

} // namespace lacewingmux::flood
