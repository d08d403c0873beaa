#pragma once

#include "SoakSettings.h"
#include "checks/SoakRecords.h"
#include "checks/Violation.h"
#include "fleet/SoakFleet.h"
#include "plan/SoakPlan.h"

#include "lacewingmux_core/time/QtTimerService.h"

#include <memory>
#include <vector>

namespace lacewingmux::soak {

/** One run: starts a fleet and callers, performs the plan, and checks what was seen. */
class SoakRun
{
public:
    explicit SoakRun(SoakSettings soakSettings);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /** Returns the promises that were broken. */
    [[nodiscard]] std::vector<Violation> perform();

private:
    void printPlan() const;
    void startCallers();
    void performPlan();
    void finishCalls();
    void measureDelay();
    [[nodiscard]] std::vector<Violation> check() const;
    void print(const std::vector<Violation> &violations) const;
    void printSummary() const;
    /** Prints what the entry VMs logged about a request. */
    void printLog(const QByteArray &request) const;

    SoakSettings settings;
    SoakPlan plan;
    QtTimerService timers;
    SoakFleet fleet;
    SoakRecords records;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    TimerService::SteadyTime lastMeasurement;
    TimerSubscription delayTimer;
};

} // namespace lacewingmux::soak
