#pragma once

#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class BackendRun;
class ConnectionPool;
class TimerService;
struct ReplicaRecord;

/** The outcome of a probe. */
enum class ProbeOutcome : std::uint8_t {
    Alive,
    Refused,   ///< no connection: it was refused, or the host was not found
    NoResponse ///< connecting timed out, or no complete response was received
};

/** The outcome of a probe and the replica's process instance, if the replica reports it. */
struct ProbeResult
{
    ProbeOutcome outcome = ProbeOutcome::NoResponse;
    QString instance;
};

/**
    Checks whether a replica is alive: an engine by GET /v1/load, a service by GET /healthz. A
    response of any status counts as alive. Destroying the probe cancels it without a callback.
*/
class ReplicaProbe
{
public:
    ReplicaProbe(ConnectionPool &connections, TimerService &timers, const ReplicaRecord &replica,
                 std::chrono::milliseconds timeout,
                 std::function<void(const ProbeResult &)> callback);
    ~ReplicaProbe();
    ReplicaProbe(const ReplicaProbe &) = delete;
    ReplicaProbe &operator=(const ReplicaProbe &) = delete;

private:
    std::unique_ptr<BackendRun> exchange;
};

} // namespace lacewingmux
