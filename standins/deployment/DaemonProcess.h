#pragma once

#include "deployment/DeploymentPlan.h"
#include "deployment/ManagedProcess.h"
#include "deployment/TcpRelay.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QUrl>

#include <cstdint>
#include <memory>

namespace lacewingmux::standin {

/** What the daemons of a deployment share. */
struct DeploymentSurroundings
{
    QString folder;           ///< for settings, logs and data
    QString sharedSecretFile; ///< proof between the daemons
    QStringList zones;
    std::uint16_t storePort = 0;
};

/**
    One daemon of a local deployment with the relays before it.

    Its peers reach it through relays, and so does it the store, so that each of these ways can be
    cut. It dials its peers from a loopback address of its own, by which their relays know it.
*/
class DaemonProcess
{
public:
    DaemonProcess(const DeploymentPlan &deploymentPlan, const PlannedVm &plannedVm, int number,
                  const DeploymentSurroundings &deploymentSurroundings);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** Writes the settings with the given seed peers and starts the process. */
    void start(const QJsonArray &seeds);

    [[nodiscard]] const PlannedVm &vm() const
    {
        return this->planned;
    }
    [[nodiscard]] const QHostAddress &address() const
    {
        return this->ownAddress;
    }
    [[nodiscard]] ManagedProcess &process()
    {
        return *this->managed;
    }
    [[nodiscard]] QUrl callers() const;
    [[nodiscard]] QUrl operators() const;
    [[nodiscard]] TcpRelay &storeRelay()
    {
        return *this->toStore;
    }

    /** Returns this daemon as an entry of another one's seeds. */
    [[nodiscard]] QJsonObject asSeed() const;

    /** Cuts the links that the sources dial to this daemon; an empty function mends them. */
    void cutSources(const std::function<bool(const QHostAddress &source)> &isCutSource);

    /** Returns whether it answers that it is ready. */
    [[nodiscard]] bool isReady() const;

private:
    [[nodiscard]] QUrl url(std::uint16_t port, const QString &path) const;
    [[nodiscard]] QJsonObject settings(const QJsonArray &seeds) const;

    DeploymentPlan plan;
    PlannedVm planned;
    DeploymentSurroundings surroundings;
    QHostAddress ownAddress;
    std::unique_ptr<TcpRelay> toControl;
    std::unique_ptr<TcpRelay> toTraffic;
    std::unique_ptr<TcpRelay> toStore;
    std::unique_ptr<ManagedProcess> managed;
};

} // namespace lacewingmux::standin
