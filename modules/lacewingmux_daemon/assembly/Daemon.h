#pragma once

#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_daemon/assembly/PlannedStop.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <functional>
#include <memory>

namespace lacewingmux {

class ControlServices;
class OperatorServices;
class TrafficServices;

/**
    The daemon of one entry VM.

    Make it on a thread with a Qt event loop, which becomes its control thread, and run the loop;
    the traffic thread is its own. It serves from then on, and joins its zone's view by itself. Stop
    it with beginStop() and run the loop until the stopped function is called; destroying it without
    that is a crash as far as callers and peers can tell.
*/
class Daemon
{
public:
    /**
        Starts everything. The function is called once, when a planned stop has ended, with whether
        all was answered and handed over. Throws LacewingmuxError when a port can't be listened on
        or a file can't be used.
    */
    Daemon(const DaemonSettings &daemonSettings, std::function<void(bool complete)> stopped);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Begins the planned stop; further calls do nothing. */
    void beginStop();

    /** Returns this run of the daemon as its peers see it. */
    [[nodiscard]] const VmDescriptor &self() const noexcept
    {
        return this->descriptor;
    }

private:
    [[nodiscard]] std::unique_ptr<TrafficServices> makeTraffic();
    [[nodiscard]] std::unique_ptr<ControlServices> makeControl();
    [[nodiscard]] PlannedStopHooks stopHooks(std::function<void(bool complete)> stopped);

    // The control thread's parts post to the traffic thread, so they go first.
    DaemonSettings settings;
    QtTimerService timers;
    VmDescriptor descriptor;
    HistogramMetrics metrics;
    ThreadQueue controlQueue;
    std::unique_ptr<ServiceThread<TrafficServices>> traffic;
    std::unique_ptr<ControlServices> control;
    std::unique_ptr<OperatorServices> operators;
    std::unique_ptr<PlannedStop> stop;
};

} // namespace lacewingmux
