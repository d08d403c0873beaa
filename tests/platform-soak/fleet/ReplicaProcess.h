#pragma once

#include "plan/SoakPlan.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <memory>

namespace lacewingmux::standin {
class ManagedProcess;
}

namespace lacewingmux::soak {

/** A stand-in replica and its entry in the store. */
class ReplicaProcess
{
public:
    ReplicaProcess(QByteArray replicaId, QByteArray replicaZone, SoakPlan::ReplicaLimits limits,
                   const QString &binaryFolder, const QString &folder, std::uint32_t seed);
    ~ReplicaProcess();
    ReplicaProcess(const ReplicaProcess &) = delete;
    ReplicaProcess &operator=(const ReplicaProcess &) = delete;

    /** Returns the file that exists while the service's replicas stutter. */
    [[nodiscard]] static QString stutterFile(const QString &folder, const QByteArray &service);

    /** Starts the process and waits for its port. */
    void start();

    /** Returns its key in the store. */
    [[nodiscard]] QByteArray storeKey() const;

    /** Returns its entry in the store. */
    [[nodiscard]] QByteArray storeEntry(bool isDraining) const;

    [[nodiscard]] const QByteArray &service() const noexcept
    {
        return this->replicaLimits.service;
    }
    [[nodiscard]] std::uint16_t listeningPort() const noexcept
    {
        return this->port;
    }
    [[nodiscard]] standin::ManagedProcess &process()
    {
        return *this->managed;
    }

    bool hasLeft = false; ///< its listener is closed

private:
    QByteArray id;
    QByteArray zone;
    SoakPlan::ReplicaLimits replicaLimits;
    std::uint16_t port = 0;
    qint64 startMilliseconds = 0;
    std::unique_ptr<standin::ManagedProcess> managed;
};

} // namespace lacewingmux::soak
