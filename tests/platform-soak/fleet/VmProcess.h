#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QString>

#include <cstdint>
#include <memory>

class QJsonObject;

namespace lacewingmux::standin {
class ManagedProcess;
}

namespace lacewingmux::soak {

/** The daemon of one VM in a role of the operators' platform, on a loopback address of its own. */
class VmProcess
{
public:
    enum class Role : std::uint8_t { Front, Records };

    static constexpr std::uint16_t ingressPort = 20001;
    static constexpr std::uint16_t readinessPort = 20002;

    struct Surroundings
    {
        QString daemonFolder;
        QString folder;
        std::uint16_t storePort = 0;
        bool linksAreCut = false; ///< at times; see cutsFile
        int memoryMegabytes = 140;
    };

    VmProcess(Role daemonRole, int number, Surroundings vmSurroundings);
    ~VmProcess();
    VmProcess(const VmProcess &) = delete;
    VmProcess &operator=(const VmProcess &) = delete;

    /** Starts the daemon, also again after its end. */
    void start();

    [[nodiscard]] standin::ManagedProcess &process()
    {
        return *this->daemon;
    }
    [[nodiscard]] const QByteArray &name() const noexcept
    {
        return this->vm;
    }
    [[nodiscard]] const QHostAddress &address() const noexcept
    {
        return this->ownAddress;
    }

    /** Returns the file with the daemon's log. */
    [[nodiscard]] QString logFile() const;

    /** Returns the file with the ports that the daemon can't connect to, while there are any. */
    [[nodiscard]] QString cutsFile() const;

private:
    void writeSettings() const;
    [[nodiscard]] QJsonObject settings() const;
    [[nodiscard]] QString path(const char *suffix) const;

    Role role;
    QByteArray vm;
    QByteArray zone;
    QHostAddress ownAddress;
    Surroundings surroundings;
    bool wasStarted = false;
    std::unique_ptr<standin::ManagedProcess> daemon;
};

} // namespace lacewingmux::soak
