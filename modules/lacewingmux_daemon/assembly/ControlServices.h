#pragma once

#include "lacewingmux_allowance/shares/ShareRebalancer.h"
#include "lacewingmux_backend/replicas/ReplicaRegistry.h"
#include "lacewingmux_config/service/ConfigurationService.h"
#include "lacewingmux_daemon/assembly/ViewSnapshot.h"
#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/ZoneMembership.h"

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux {

class HistogramMetrics;
class ThreadQueue;
class TrafficServices;
struct DaemonSettings;
template <typename Services>
class ServiceThread;

/** What the control thread's services work with; all of it outlives them. */
struct ControlEnvironment
{
    ServiceThread<TrafficServices> &traffic;
    ThreadQueue &controlQueue;
    HistogramMetrics &metrics;
    TimerService &timers;
};

/**
    Everything that lives on the control thread: the control links, the platform's store, the
    zone's membership, configuration and keys, shares, and the replicas that exist.

    Whatever comes into force is posted to the traffic thread as an immutable snapshot.
*/
class ControlServices
{
public:
    ControlServices(const DaemonSettings &settings, const VmDescriptor &self,
                    const PeerHubSettings &hubSettings,
                    const ControlEnvironment &controlEnvironment);
    ~ControlServices();
    ControlServices(const ControlServices &) = delete;
    ControlServices &operator=(const ControlServices &) = delete;

    /** Takes note that a peer has adopted an epoch that this VM doesn't know. */
    void newerEpochSeen(std::uint64_t epoch);

    /** Takes note that all slots of this VM are active in the epoch. */
    void settled(std::uint64_t epoch);

    /** Asks for a view without this VM. */
    void leaveView();

    /** Returns what this thread knows, for operators. */
    [[nodiscard]] QJsonObject status() const;

private:
    [[nodiscard]] ReplicaRegistryEnvironment replicaEnvironment();
    /** Returns what is in force in each configured zone; 0 for a zone that isn't heard of. */
    [[nodiscard]] QJsonArray inForce() const;
    [[nodiscard]] ConfigurationHooks configurationHooks();
    [[nodiscard]] ShareRebalancerHooks shareHooks();
    void adoptConfiguration(const std::shared_ptr<const Configuration> &accepted);
    void publishAuthority();
    void adoptViews(const std::shared_ptr<const FleetViews> &views, const ViewHistory &history);

    ControlEnvironment environment;
    VmDescriptor descriptor;
    std::vector<QString> zones;
    TcpPeerHub hub;
    HttpPlatformStore store;
    ZoneMembership membership;
    ConfigurationService configuration;
    ShareRebalancer shares;
    ReplicaRegistry replicas;
};

} // namespace lacewingmux
