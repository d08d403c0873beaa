#pragma once

#include "callers/TestCaller.h"
#include "deployment/LocalDeployment.h"
#include "events/BackendRun.h"
#include "events/Violation.h"

#include <QByteArray>
#include <QCoreApplication>
#include <QJsonObject>
#include <QString>
#include <QStringList>

#include <memory>
#include <vector>

/**
    A deployment for one failure test: two zones, two VMs, two engines and one booking service each,
    and a team with a key.
*/
class Scenario
{
public:
    Scenario();

    /** Makes a scenario whose team may send the given number of requests a second. */
    Scenario(double requestsPerSecond, double burst);
    ~Scenario();
    Scenario(const Scenario &) = delete;
    Scenario &operator=(const Scenario &) = delete;

    [[nodiscard]] lacewingmux::standin::LocalDeployment &deployment()
    {
        return *this->system;
    }
    [[nodiscard]] const QByteArray &key() const
    {
        return this->teamKey;
    }
    [[nodiscard]] static QString team();

    /** Returns all VMs, those of the first zone first. */
    [[nodiscard]] static QStringList vms();
    [[nodiscard]] static QStringList vmsOf(const QString &zone);
    [[nodiscard]] static QString firstZone();
    [[nodiscard]] static QString secondZone();

    /** Returns the names of the booking services and of the engines. */
    [[nodiscard]] static QStringList services();
    [[nodiscard]] static QStringList engines();

    /** Opens a program at the VM, trying again while it is refused for the moment. */
    [[nodiscard]] QString openProgram(TestCaller &caller, const QString &vm);

    /** Returns every run that the booking services have recorded. */
    [[nodiscard]] std::vector<BackendRun> serviceRuns();

    /** Returns how many requests the engine has run. */
    [[nodiscard]] qint64 engineRuns(const QString &engine);

    /** Tells whether an engine saw the text in the path, query or headers of a request. */
    [[nodiscard]] bool engineSaw(const QByteArray &text);

    /** Returns the tokens that the engines hold for the program. */
    [[nodiscard]] qint64 tokensHeldFor(const QString &program);

private:
    void waitUntilKeyIsKnown();
    [[nodiscard]] QJsonObject engineState(const QString &engine,
                                          const QByteArray &containedText = {});

    int argumentCount = 0;
    QCoreApplication application;
    std::unique_ptr<lacewingmux::standin::LocalDeployment> system;
    QByteArray teamKey;
};

/** Fails the test with all violations, if there are any. */
void assertNone(const std::vector<Violation> &violations);
