#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/membership/ZoneMembership.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

/**
    The memberships of several VMs on one in-memory store and network, with virtual time. Records
    each view that any VM adopted, so that tests can compare them.
*/
class MembershipFleet
{
public:
    MembershipFleet();

    /** Starts a VM of the zone, or starts it again as a new incarnation. */
    void start(const QString &vm, const QString &zone = QStringLiteral("z"));

    /** Ends a VM immediately. */
    void kill(const QString &vm);

    /** Marks a VM as gone in the platform's list. */
    void listAsGone(const QString &vm);

    /** Isolates a VM from the store and all other VMs. */
    void isolate(const QString &vm);

    /** Ends all isolations and partitions. */
    void heal();

    /** Advances virtual time. */
    void run(std::chrono::milliseconds duration);

    /** Advances time until the condition holds; returns whether it did within the bound. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition,
                                std::chrono::milliseconds bound = std::chrono::minutes(3));

    [[nodiscard]] lacewingmux::ZoneMembership &membership(const QString &vm);
    [[nodiscard]] bool isRunning(const QString &vm) const;

    /** Returns the names of the members of the VM's view, joined by commas. */
    [[nodiscard]] std::string members(const QString &vm);

    /** Returns the number of conflicting views of the same zone and epoch; must be 0. */
    [[nodiscard]] int conflictingViewCount() const
    {
        return this->conflictingViews;
    }

    bool settleSlotsAtOnce = true; ///< whether VMs report their slots active as soon as they join
    lacewingmux::ManualTimerService timers;
    lacewingmux::InMemoryPeerNetwork network{this->timers};
    std::shared_ptr<lacewingmux::InMemoryStoreServer> store;

private:
    struct Node
    {
        lacewingmux::VmDescriptor descriptor;
        std::unique_ptr<lacewingmux::PeerHub> hub;
        std::unique_ptr<lacewingmux::InMemoryPlatformStore> store;
        std::unique_ptr<lacewingmux::ZoneMembership> membership;
    };

    void recordView(const lacewingmux::ZoneView &view);

    lacewingmux::IgnoringMetricsRecorder metrics;
    std::map<QString, Node> nodes;
    std::map<std::pair<QString, std::uint64_t>, std::vector<lacewingmux::VmDescriptor>> seenMembers;
    std::uint64_t nextIncarnation = 1;
    int conflictingViews = 0;
};
