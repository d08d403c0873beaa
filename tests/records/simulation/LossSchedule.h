#pragma once

#include "simulation/RecordsFleet.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lacewingmux {

/**
    A seeded random run of a fleet in which losses overlap: any number of records VMs is down or cut
    off at the same time, and no more disks are lost than are tolerated. Service may be suspended
    meanwhile, but no kept turn may be called unknown and no spent budget be spent again. Once all
    VMs are back, or replaced, all turns are served.
*/
class LossSchedule
{
public:
    explicit LossSchedule(std::uint64_t seedNumber, int recordsVmCount = 3);

    /** Also empties records VMs for good while others are lost. */
    void addRetirements()
    {
        this->hasRetirements = true;
    }

    /** Runs the schedule; returns the first broken promise and the actions before it, or an empty
        text. */
    [[nodiscard]] std::string run();

private:
    enum class VmState : std::uint8_t { Running, Down, Cut, Gone };

    struct Vm
    {
        VmState state = VmState::Running;
        bool isRetiring = false;
    };

    /** Loses some VMs, keeps turns, loses and brings back others, and checks the promises. */
    void playRound();
    void loseSome();
    void bringSomeBack();
    void wait();
    void checkPromises();
    void keepTurn();
    void checkKeptTurn(const QByteArray &kept);
    void checkSpentBudget(const QByteArray &program);
    void stop(const QString &name, bool loseDisk);
    void bringBack(const QString &name);
    void cutOff(const QString &name);
    void replace(const QString &name);
    void retire(const QString &name);
    void removeRetired();
    void bringAllBack();
    void checkService();
    /** Returns whether the group bears the loss of a disk: those lost before are filled again. */
    [[nodiscard]] bool bearsLostDisk();
    [[nodiscard]] bool isAnyRetiring() const;
    void addVm();
    [[nodiscard]] TurnRequest turn(const QByteArray &program, const QByteArray &previous);
    [[nodiscard]] TurnOutcome open(std::size_t entry, const TurnRequest &request);
    [[nodiscard]] bool store(const TurnRequest &request);
    void note(const std::string &what);
    void reportViolation(const std::string &what);
    /** Returns the names of the VMs that are not gone for good, in a random order. */
    [[nodiscard]] std::vector<QString> presentVms();
    [[nodiscard]] int randomBelow(int below);

    std::mt19937_64 random;
    RecordsFleet fleet;
    std::map<QString, Vm> vms;
    int nextVm;
    bool hasRetirements = false;
    std::vector<QByteArray> keptTurns;
    std::vector<QByteArray> spentPrograms;
    QString lostDiskVm; ///< the VM whose disk was lost last, until the group is whole again
    QString replacedVm; ///< the VM that was lost for good last
    TimerService::SteadyTime lostDiskBackAt;
    int nextTurn = 1;
    std::string violation;
    std::string actions;
};

} // namespace lacewingmux
