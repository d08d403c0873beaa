#pragma once

#include "deployment/DaemonProcess.h"
#include "deployment/DeploymentPlan.h"
#include "deployment/ManagedProcess.h"

#include <QByteArray>
#include <QJsonArray>
#include <QTemporaryDir>
#include <QUrl>

#include <chrono>
#include <memory>
#include <vector>

namespace lacewingmux::standin {

/**
    A whole system on loopback: the platform's store, backend servers and daemons, each a process.

    Make it with a plan, call start(), and break what you like. Everything is killed, and the
    temporary folder removed, when it is destroyed. Set the environment variable
    LACEWINGMUX_KEEP_LOGS to keep the folder.
*/
class LocalDeployment
{
public:
    explicit LocalDeployment(DeploymentPlan deploymentPlan);
    ~LocalDeployment();
    LocalDeployment(const LocalDeployment &) = delete;
    LocalDeployment &operator=(const LocalDeployment &) = delete;

    /** Starts everything and waits until every daemon is ready. Throws LacewingmuxError. */
    void start();

    /** Starts a daemon that was killed or has stopped, as a new incarnation. */
    void restart(const QString &vm);

    /** Waits until the daemon answers that it is ready. */
    [[nodiscard]] bool waitUntilReady(const QString &vm, std::chrono::milliseconds bound);

    [[nodiscard]] DaemonProcess &daemon(const QString &vm);
    [[nodiscard]] ManagedProcess &store()
    {
        return *this->storeProcess;
    }

    /** Sets all faults of the store's stand-in; an empty object ends them. */
    void setStoreFaults(const QJsonObject &faults);

    /** Writes a key of the store as the platform would, for instance a VM's state. */
    void putInStore(const QByteArray &key, const QByteArray &value);

    [[nodiscard]] ManagedProcess &backend(const QString &name);
    [[nodiscard]] QUrl backendUrl(const QString &name) const;

    /** Starts a backend server again on its port after its end. */
    void restartBackend(const QString &name);

    /** Sets all faults of a backend server's stand-in; an empty object ends them. */
    void setBackendFaults(const QString &name, const QJsonObject &faults);

    /** Marks a backend server as leaving, or takes the mark back. */
    void setBackendLeaving(const QString &name, bool leaving);

    /** Cuts the zone's daemons off from all daemons of other zones. */
    void cutZone(const QString &zone);

    /** Cuts a daemon off from the store. */
    void cutFromStore(const QString &vm);

    /** Cuts a daemon off from all other daemons. */
    void cutVm(const QString &vm);

    /** Ends all cuts. */
    void mendAll();

    /** Makes a key of the team through lacewingmuxctl and returns it. */
    [[nodiscard]] QByteArray issueKey(const QString &team);

    /** Runs lacewingmuxctl against this deployment; throws unless it exits with 0. */
    QByteArray runControl(const QStringList &arguments);

    /** Returns the folder with the daemons' logs. */
    [[nodiscard]] QString folder() const
    {
        return this->directory.path();
    }

private:
    struct Backend
    {
        PlannedBackend planned;
        std::unique_ptr<ManagedProcess> process;
        std::uint16_t port = 0;
    };

    [[nodiscard]] std::unique_ptr<ManagedProcess>
    makeProcess(const QString &program, const QStringList &arguments, const QString &name) const;
    void startStore();
    void startBackends();
    void registerBackend(const Backend &backend, bool leaving);
    void applyConfiguration();
    void makeDaemons();
    [[nodiscard]] QJsonArray seeds() const;
    [[nodiscard]] Backend &findBackend(const QString &name);

    DeploymentPlan plan;
    QTemporaryDir directory;
    std::unique_ptr<ManagedProcess> storeProcess;
    std::uint16_t storePort = 0;
    std::vector<Backend> backends;
    std::vector<std::unique_ptr<DaemonProcess>> daemons;
};

} // namespace lacewingmux::standin
