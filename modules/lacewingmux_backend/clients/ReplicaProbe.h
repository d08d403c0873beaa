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

/** What a probe found. */
enum class ProbeOutcome : std::uint8_t {
    Alive,
    Refused,   ///< nothing listens there
    NoResponse ///< it took the connection and gave no answer, or did not take it in time
};

/** The outcome of a probe and, where the replica tells it, which start of its process answered. */
struct ProbeResult
{
    ProbeOutcome outcome = ProbeOutcome::NoResponse;
    QString instance;
};

/**
    Asks a replica whether it lives: an engine by GET /v1/load, a service by GET /healthz, where an
    answer of any status counts as alive. Destroying it ends the probe without calling back.
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
    std::unique_ptr<BackendRun> run;
};

} // namespace lacewingmux
