#pragma once

#include "Record.h"

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace review {

/** One daemon of the system on its own loopback address, started with the command of the deploy
    file. Kills its process when it is destroyed. */
class Daemon
{
public:
    enum class Role { Front, Records };
    struct Settings
    {
        Role role = Role::Front;
        int number = 1; ///< from 1, in its role
        std::string zone;
        std::string folder; ///< temporary
        std::uint16_t storePort = 0;
        int memoryMb = 140;
        int toleratedMachines = 1;
        double graceS = 8;
    };

    Daemon(const Settings &daemonSettings, Record &caseRecord);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number) const;
    /** Waits for the end of the process, and kills it after the time; returns whether it ended by
        itself. */
    bool waitForEnd(int milliseconds);
    void kill();
    /** Removes what the process has stored; only while it does not run. */
    void removeDisk() const;
    [[nodiscard]] bool isRunning();
    /** Returns the anonymous memory of the process in MB: without the pages of its files, which
        the system may drop. */
    [[nodiscard]] double memoryMb() const;
    [[nodiscard]] const std::string &address() const
    {
        return this->ip;
    }
    [[nodiscard]] const std::string &name() const
    {
        return this->vm;
    }
    [[nodiscard]] int memoryLimitMb() const
    {
        return this->settings.memoryMb;
    }
    static constexpr std::uint16_t ingressPort = 8368;
    static constexpr std::uint16_t readinessPort = 8369;

private:
    void writeSettings() const;

    Settings settings;
    Record &record;
    std::string vm;
    std::string ip;
    bool wasStarted = false;
    pid_t process = -1;
};

/** Returns whether the daemon answers 200 at its readiness address. */
bool isReady(const Daemon &front);
/** Waits until it does; false after the time. */
bool waitUntilReady(const Daemon &front, int milliseconds);

} // namespace review
