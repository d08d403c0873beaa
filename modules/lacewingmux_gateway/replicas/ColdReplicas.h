#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_gateway/routing/GatewayService.h"

#include <QByteArray>
#include <QHash>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    The replicas that are cold: for a while after a start, and again at other times, they take only
    few requests per second from all VMs together.

    A replica states in its store entry and in its responses how long it stays cold. Without a
    statement it is assumed to be cold after a start, after the evacuation of its zone has ended and
    after it was unreachable. A later statement replaces the assumption.

    Only replicas of services with a limit for cold replicas are treated as cold. The events of all
    replicas are recorded, because the configuration may be loaded or changed later. Reads no clock:
    the current time is a parameter.
*/
class ColdReplicas
{
public:
    using SteadyTime = TimerService::SteadyTime;
    using WallTime = TimerService::WallTime;

    /** Why a replica is treated as cold. */
    enum class Reason : std::uint8_t { Stated, Started, ZoneReturned, Unreachable };

    /** A replica that is treated as cold from now on, or no longer. */
    struct Change
    {
        QByteArray id;
        std::optional<Reason> reason; ///< nothing if it is no longer treated as cold
    };

    /** Sets the services of the configuration, by name. */
    void setServices(const QHash<QByteArray, GatewayService> &newServices);

    /** Sets the registered replicas. An entry counts as a statement when it is new or states
        another time than before: entries also return unchanged, without news. */
    void setReplicas(const std::vector<ReplicaInstance> &instances, SteadyTime now,
                     WallTime wallNow);

    /** Records for how long the replica, in the incarnation with this start time (Unix time in
        milliseconds), says that it stays cold; 0 if it is not cold. */
    void recordStatement(const QByteArray &id, std::int64_t startMilliseconds,
                         std::chrono::milliseconds remaining, SteadyTime now);

    /** Records that an attempt to connect to the replica failed. */
    void recordUnreachable(const QByteArray &id, SteadyTime now);

    /** Records that the replica accepted a connection or responded. */
    void recordContact(const QByteArray &id, SteadyTime now);

    /** Sets the zones that are evacuated. */
    void setEvacuatedZones(std::set<QByteArray> zones, SteadyTime now);

    /** Returns whether the service of the replica has a limit for cold replicas. */
    [[nodiscard]] bool mayBeCold(const QByteArray &id) const;

    /** Returns how many requests per second the replica takes from all VMs together; nothing if it
        is not treated as cold. */
    [[nodiscard]] std::optional<double> limit(const QByteArray &id, SteadyTime now) const;

    /** Returns the number of registered replicas that are treated as cold. */
    [[nodiscard]] int count(SteadyTime now) const;

    /** Returns what has changed since the last call. */
    [[nodiscard]] std::vector<Change> takeChanges(SteadyTime now);

private:
    /** That the replica is cold since a time for as long as after a start. */
    struct Assumption
    {
        SteadyTime since;
        Reason reason = Reason::Started;
    };

    struct Replica
    {
        std::int64_t startMilliseconds = 0;
        QByteArray service;
        QByteArray zone;
        std::optional<std::chrono::milliseconds> entryStatement; ///< in the last entry
        SteadyTime statedUntil;
        std::optional<Assumption> assumption;
        std::optional<SteadyTime> unreachableSince;
        std::optional<SteadyTime> unregisteredSince;
        bool wasCold = false; ///< at the last call of takeChanges()
    };

    static void updateEntry(Replica &replica, const ReplicaInstance &instance, bool isReturning,
                            SteadyTime now);
    static void applyStatement(Replica &replica, std::chrono::milliseconds remaining,
                               SteadyTime now);
    [[nodiscard]] const GatewayService *limitedService(const Replica &replica) const;
    /** Returns why the replica is treated as cold; nothing if it is not. */
    [[nodiscard]] std::optional<Reason> reason(const Replica &replica, SteadyTime now) const;

    QHash<QByteArray, GatewayService> services;
    QHash<QByteArray, Replica> replicas; ///< with those that were registered until recently
    std::set<QByteArray> evacuatedZones;
};

} // namespace lacewingmux
