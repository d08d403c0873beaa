#include "lacewingmux_daemon/assembly/Daemon.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_daemon/assembly/ControlServices.h"
#include "lacewingmux_daemon/assembly/OperatorServices.h"
#include "lacewingmux_daemon/assembly/PeerHubSetup.h"
#include "lacewingmux_daemon/assembly/TrafficServices.h"

namespace lacewingmux {

namespace {

/** The start time in microseconds: grows with each start, as long as the clock doesn't go back. */
std::uint64_t incarnationAt(TimerService::WallTime start)
{
    const auto sinceEpoch = start.time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

Daemon::Daemon(const DaemonSettings &daemonSettings, std::function<void(bool complete)> stopped)
    : settings(daemonSettings)
    , descriptor(describeSelf(daemonSettings, incarnationAt(this->timers.wallNow())))
    , traffic(std::make_unique<ServiceThread<TrafficServices>>(
              QStringLiteral("traffic"), [this] { return this->makeTraffic(); }))
    , control(this->makeControl())
    , operators(std::make_unique<OperatorServices>(
              this->settings, OperatorEnvironment{*this->control, *this->traffic,
                                                  this->controlQueue, this->metrics, this->timers}))
    , stop(std::make_unique<PlannedStop>(this->timers, this->settings.stop,
                                         this->stopHooks(std::move(stopped))))
{
    LogEvent(LogSeverity::Info, "daemonStarted")
            .field("vm", this->descriptor.incarnation.toString())
            .field("callerPort", static_cast<int>(this->settings.callers.port));
}

Daemon::~Daemon() = default;

void Daemon::beginStop()
{
    this->stop->begin();
}

std::unique_ptr<TrafficServices> Daemon::makeTraffic()
{
    TrafficHooks hooks;
    hooks.newerEpochSeen = [this](std::uint64_t epoch) {
        this->controlQueue.post([this, epoch] { this->control->newerEpochSeen(epoch); });
    };
    hooks.settled = [this](std::uint64_t epoch) {
        this->controlQueue.post([this, epoch] { this->control->settled(epoch); });
    };
    return std::make_unique<TrafficServices>(
            this->settings, this->descriptor,
            hubSettingsOf(this->settings, this->descriptor.incarnation, PeerChannel::Traffic),
            this->metrics, hooks);
}

std::unique_ptr<ControlServices> Daemon::makeControl()
{
    return std::make_unique<ControlServices>(
            this->settings, this->descriptor,
            hubSettingsOf(this->settings, this->descriptor.incarnation, PeerChannel::Control),
            ControlEnvironment{*this->traffic, this->controlQueue, this->metrics, this->timers});
}

PlannedStopHooks Daemon::stopHooks(std::function<void(bool complete)> stopped)
{
    PlannedStopHooks hooks;
    hooks.becomeUnready = [this] {
        this->traffic->post([](TrafficServices &services) { services.becomeUnready(); });
    };
    hooks.refuseConnections = [this] {
        this->traffic->post([](TrafficServices &services) {
            services.refuseConnections();
            services.refuseNewWork();
        });
    };
    hooks.leaveView = [this] { this->control->leaveView(); };
    hooks.requestStatus = [this](const std::function<void(const TrafficStatus &)> &answer) {
        this->traffic->post([this, answer](TrafficServices &services) {
            const TrafficStatus status = services.status();
            this->controlQueue.post([answer, status] { answer(status); });
        });
    };
    hooks.stopped = std::move(stopped);
    return hooks;
}

} // namespace lacewingmux
