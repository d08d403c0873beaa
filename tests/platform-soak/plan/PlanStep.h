#pragma once

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux::soak {

/** What a step does to the fleet. */
enum class StepKind : std::uint8_t {
    Silence,   ///< stop replicas of a service for a while (SIGSTOP, SIGCONT)
    Configure, ///< write a version of the configuration
    Leave,     ///< a replica closes its listener and serves what it has
    StopVm,    ///< planned stop of an entry VM, which is started again
    PauseVm,   ///< stop the process of an entry VM for a while (SIGSTOP, SIGCONT)
    Stutter,   ///< replicas of a service spoil and repeat answers for a while
    CutLinks   ///< an entry VM can open no connection to replicas of a service for a while
};

/** What a version of the configuration changes. */
enum class Change : std::uint8_t { Idle, Timeout, Route };

/** One step of a plan. */
struct PlanStep
{
    std::chrono::milliseconds at{0};
    StepKind kind = StepKind::Silence;
    QByteArray service;
    bool allReplicas = true; ///< all replicas of the service are meant, or half of them
    std::chrono::milliseconds duration{0};
    Change change = Change::Idle;
    int vm = 0;
    bool isAnnounced = true; ///< the store says of a replica that leaves that it does

    /** Returns the step in words. */
    [[nodiscard]] QString text() const;
};

} // namespace lacewingmux::soak
