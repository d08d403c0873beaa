#pragma once

#include "Replica.h"
#include "Store.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/** One VM of the system: a process of lacewingmuxd with the command of the deploy file. */
class Vm
{
public:
    Vm(bool isFront, int vmNumber, std::string zoneName, std::string folder, std::uint16_t store);

    /** The first start is one with an empty disk; bootstrap says whether the whole system starts.
     */
    void start(bool bootstrap = true);
    void signal(int number) const;
    /** Waits until the process has ended; returns whether it has, within the time. */
    bool waitForEnd(std::chrono::milliseconds time);
    /** Kills the process and waits for its end. */
    void kill();
    /** Removes all files of the disk; the process must not run. */
    void wipeDisk() const;
    /** Returns whether the process has ended by itself. */
    bool hasEnded();
    bool isReadyNow() const;

    static constexpr std::uint16_t ingressPort = 8368;
    static constexpr std::uint16_t readinessPort = 8369;
    const bool front;
    const std::string name;
    const std::string zone;
    std::string address;
    std::atomic<bool> inRotation{false};

private:
    void writeSettings(bool bootstrap) const;
    std::string path(const char *suffix) const;

    std::string folder;
    std::uint16_t storePort;
    pid_t process = 0;
    bool wasStarted = false;
};

/** A small deployment: three records VMs in three zones, entry VMs, replicas, and the platform. */
class Fleet
{
public:
    /** The zones of the entry VMs, one each. */
    explicit Fleet(const std::vector<std::string> &frontZones, const std::string &configuration);
    ~Fleet();

    Replica &addReplica(const std::string &id, const std::string &service, const std::string &zone,
                        const Replica::Planner &planner);
    /** Starts all VMs; throws if they are not ready in time. */
    void start();
    /** Starts one more records VM, with an empty disk and at a new address. */
    Vm &addRecordsVm(const std::string &zone);
    /** Returns an entry VM of the zone to which the platform sends new connections, else one of
        another zone. */
    Vm *frontOf(const std::string &zone, const Vm *except = nullptr);

    // Served by threads that run until the process ends, so they are never destroyed.
    Store &store = *new Store;
    std::vector<std::unique_ptr<Vm>> fronts;
    std::vector<std::unique_ptr<Vm>> records;
    std::vector<Replica *> replicas;

private:
    void checkIn();
    void checkReadiness();

    std::string folder;
    std::vector<std::thread> threads;
    std::atomic<bool> ending{false};
};

/** Returns whether the disruption is to be brought about. */
bool hasTrouble();

/** Runs a case with the arguments of main, a file for the record, and ends the process: with 0 if
    the rule was kept, 1 if it was broken, 2 if the case could not run. */
[[noreturn]] void runCase(int argc, char **argv, const std::function<bool()> &ruleIsKept);

void sleepUntil(Clock::time_point time);
void sleepFor(double seconds);

/** Returns a new request id. */
std::string newRequestId();

} // namespace review
