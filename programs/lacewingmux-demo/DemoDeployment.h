#pragma once

#include "deployment/LocalDeployment.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

/** The demo's system: two zones with two VMs, two engines and one booking service each. */
class DemoDeployment
{
public:
    DemoDeployment();

    /** Starts everything and makes the team's key. */
    void start();

    [[nodiscard]] lacewingmux::standin::LocalDeployment &system()
    {
        return this->deployment;
    }
    [[nodiscard]] const QByteArray &key() const
    {
        return this->teamKey;
    }

    /** Returns the names of the VMs, as a balancer would know them. */
    [[nodiscard]] static QStringList vms();

    /** Returns the names of the booking services. */
    [[nodiscard]] static QStringList bookingServices();

private:
    lacewingmux::standin::LocalDeployment deployment;
    QByteArray teamKey;
};
