#pragma once

#include "StoreServer.h"

#include "deployment/ManagedProcess.h"
#include "lacewingmux_core/time/QtTimerService.h"

#include <QElapsedTimer>
#include <QHostAddress>
#include <QJsonObject>
#include <QString>
#include <QStringList>
#include <QTemporaryDir>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux::review {

/** A small deployment on loopback: three records VMs, two entry VMs, and replicas of a model
    service and of a plain service, before the stand-in of the operators' store. */
class Fleet
{
public:
    static constexpr int recordsVmCount = 3;
    static constexpr int entryVmCount = 2;
    static constexpr std::uint16_t ingressPort = 20000;
    /** How long a records VM stays down after a kill; cabinas-mux has 2.9 s at most. */
    static constexpr std::chrono::milliseconds killTime{2500};

    /** Takes the folders of the deploy file's build and of the stand-ins. */
    Fleet(QString daemonFolder, QString standinFolder);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts all processes. Returns whether all entry VMs have become ready. */
    [[nodiscard]] bool start();

    /** Ends a records VM as a machine that loses its power, without a planned stop. */
    void killRecordsVm(int number);

    /** Starts a records VM that has been down for killTime, and kills it again as it starts;
       returns whether it was due. To be called repeatedly. */
    bool killAgainWhenDue(int number);

    /** Starts it again; with an empty disk if it has lost its own. */
    void startRecordsVm(int number, bool hasLostDisk);

    /** Starts a further records VM, with an empty disk and an address of its own; returns its
        number. */
    int addRecordsVm();

    /** Asks for a records VM to be emptied, as an operator does. */
    void retireRecordsVm(int number, std::chrono::seconds duration);

    /** Returns whether the system has written that the records VM is empty. */
    [[nodiscard]] bool isRetired(int number) const;

    /** Ends an entry VM without a planned stop. */
    void killEntryVm(int number);

    /** Starts it again. */
    void startEntryVm(int number);

    [[nodiscard]] QHostAddress entryAddress(int number) const;

    /** Returns whether the entry VM answers the balancer's question with 200. */
    [[nodiscard]] bool isReady(int number) const;

    /** Returns the lines that the replicas wrote when a run began or ended. */
    [[nodiscard]] QStringList replicaRuns() const;

    /** Returns the folder with the logs and disks of the processes. */
    [[nodiscard]] QString folder() const;

private:
    enum class Role { Front, Records };

    [[nodiscard]] static QHostAddress addressOf(Role role, int number);
    [[nodiscard]] static QString nameOf(Role role, int number);
    [[nodiscard]] std::unique_ptr<standin::ManagedProcess> makeDaemon(Role role, int number) const;
    void writeSettings(Role role, int number, bool isFirstStart) const;
    void startReplica(const QString &service, int number);

    QString daemons;
    QString standins;
    QTemporaryDir directory;
    QtTimerService timers;
    mutable StoreServer store;
    std::uint16_t storePort = 0;
    std::vector<std::unique_ptr<standin::ManagedProcess>> recordsVms;
    std::map<int, QElapsedTimer> killedSince; ///< by the number of the records VM
    std::vector<std::unique_ptr<standin::ManagedProcess>> entryVms;
    std::vector<std::unique_ptr<standin::ManagedProcess>> replicas;
};

} // namespace lacewingmux::review
