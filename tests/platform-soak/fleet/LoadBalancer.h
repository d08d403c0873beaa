#pragma once

#include "callers/SoakCaller.h"

#include "lacewingmux_core/time/TimerSubscription.h"

#include <QNetworkAccessManager>

#include <random>
#include <vector>

namespace lacewingmux::soak {

class VmProcess;

/**
    Gives new connections to entry VMs. Each second it asks each VM whether it is ready; two
    failures in a row take a VM out until it is ready again. If none is left, all get connections.
*/
class LoadBalancer
{
public:
    LoadBalancer(TimerService &timerService, std::uint32_t seed);

    void add(const VmProcess &vm);

    /** Returns whether all VMs were ready when they were asked last. */
    [[nodiscard]] bool areAllReady() const;

    [[nodiscard]] SoakCaller::Target choose();

private:
    struct Entry
    {
        SoakCaller::Target target;
        int misses = 2;
        bool isReady = false;
    };

    void check();
    void handleAnswer(std::size_t index, bool isReady);

    std::vector<Entry> entries;
    QNetworkAccessManager network;
    std::mt19937 random;
    TimerSubscription checkTimer;
};

} // namespace lacewingmux::soak
