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
    Several VMs' memberships over one in-memory store and network, with virtual time. Remembers each
    view that any VM adopted, so that tests can compare them.
*/
class MembershipFleet
{
public:
    MembershipFleet();

    /** Starts a VM of the zone, or starts it again as a new incarnation. */
    void start(const QString &vm, const QString &zone = QStringLiteral("z"));

    /** Ends a VM at once. */
    void kill(const QString &vm);

    /** Has the platform's list say that a VM no longer runs. */
    void listAsGone(const QString &vm);

    /** Cuts a VM off from the store and from all others. */
    void cutOff(const QString &vm);

    /** Ends all cuts. */
    void heal();

    /** Lets virtual time pass in small steps. */
    void run(std::chrono::milliseconds duration);

    /** Lets time pass until the condition holds; returns whether it did within the bound. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition,
                                std::chrono::milliseconds bound = std::chrono::minutes(3));

    [[nodiscard]] lacewingmux::ZoneMembership &membership(const QString &vm);
    [[nodiscard]] bool isRunning(const QString &vm) const;

    /** Returns the names of the members of the VM's view, joined by commas. */
    [[nodiscard]] std::string members(const QString &vm);

    /** Returns the number of views of one zone and epoch that differ from one another; must be 0.
     */
    [[nodiscard]] int contradictions() const
    {
        return this->contradictoryViews;
    }

    bool slotsSettle = true; ///< whether VMs have all their slots active as soon as they join
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

    void noteView(const lacewingmux::ZoneView &view);

    lacewingmux::IgnoringMetricsRecorder metrics;
    std::map<QString, Node> nodes;
    std::map<std::pair<QString, std::uint64_t>, std::vector<lacewingmux::VmDescriptor>> seen;
    std::uint64_t nextIncarnation = 1;
    int contradictoryViews = 0;
};
