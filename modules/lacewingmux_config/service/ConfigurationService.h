#pragma once

#include "lacewingmux_config/service/ConfigurationHooks.h"
#include "lacewingmux_config/service/ConfigurationSnapshot.h"
#include "lacewingmux_config/service/ConfigurationState.h"
#include "lacewingmux_config/service/InForceBook.h"
#include "lacewingmux_config/service/StoreContact.h"
#include "lacewingmux_config/service/StoreFollower.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <QJsonArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>

namespace lacewingmux {

class MetricsRecorder;

/**
    Brings the configuration and the keys to this VM and in force; on the control thread.

    Two VMs of each zone watch the platform's store. Every VM tells its zone when it has taken a
    newer revision; a VM that lacks it asks one of those that have it, at random, so the load
    spreads over the zone. Watchers tell the watchers of other zones too, so a zone that is cut
    off from the store alone stays up to date. A VM that hears from no peer asks the store itself.

    Only higher revisions are taken. Each announcement says how long ago its sender was sure that
    the store had nothing newer, which StoreContact keeps for the plans that bound it.
*/
class ConfigurationService
{
public:
    /** How often a VM says what it has, when nothing changes. */
    static constexpr std::chrono::milliseconds announceInterval{2000};

    /** A VM that isn't sure of the store for this long asks the store itself now and then. */
    static constexpr std::chrono::milliseconds fallbackAfter{6000};

    /** How likely it asks at each interval, so that a whole fleet doesn't ask at once. */
    static constexpr double fallbackChance = 0.25;

    /** How long an asked peer has to answer before another is asked. */
    static constexpr std::chrono::milliseconds requestTimeout{1000};

    /** The longest random pause before a peer is asked. */
    static constexpr std::chrono::milliseconds requestJitter{100};

    /** The hub must outlive the service and be used no more once the service is gone.
        An empty data folder keeps nothing on disk. The seed should differ between VMs. */
    ConfigurationService(PlatformStore &platformStore, PeerHub &controlHub,
                         TimerService &timerService, MetricsRecorder &metricsRecorder,
                         ConfigurationHooks daemonHooks, const QString &dataFolder,
                         std::uint64_t jitterSeed);
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /** Loads the snapshot and begins to ask and listen. Call it once, when the hooks are ready. */
    void start();

    /** To be called when the zone views have changed. */
    void viewsChanged();

    /** Returns what is in force here; never null. */
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept
    {
        return this->state.configuration();
    }
    [[nodiscard]] std::shared_ptr<const KeyRing> keyRing() const noexcept
    {
        return this->state.keyRing();
    }

    /** Returns what is in force here, as numbers. */
    [[nodiscard]] RevisionSet revisions() const
    {
        return this->state.revisions();
    }

    /** Returns when this VM was last in touch; shared with the traffic threads. */
    [[nodiscard]] std::shared_ptr<const StoreContact> storeContact() const noexcept
    {
        return this->contact;
    }

    /** Returns what is in force in each zone, as far as this VM has heard of it. */
    [[nodiscard]] std::vector<ZoneInForce> zonesInForce() const;

    /** Returns zonesInForce() for the operators' status: [{"zone", "configuration", ...}]. */
    [[nodiscard]] QJsonArray zonesInForceJson() const;

private:
    void tick();
    void take(const ConfigurationFile &file);
    void publish(ConfigurationState::Change change);
    void noteContact(TimerService::SteadyTime asOf);

    [[nodiscard]] PeerFrame announcement() const;
    void announceToZone();
    void announceRegularly();
    void sendZones();
    void handleAnnouncement(const VmIncarnation &sender, const PeerFrame &frame);
    void handleRequest(const VmIncarnation &sender, const PeerFrame &frame);
    void handleZones(const PeerFrame &frame);
    void handleLink(const VmIncarnation &peer, bool up);

    void requestSoon(std::chrono::milliseconds longestPause);
    void request();
    [[nodiscard]] std::chrono::milliseconds randomPause(std::chrono::milliseconds longest);

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    ConfigurationHooks hooks;
    ConfigurationSnapshot snapshot;
    ConfigurationState state;
    InForceBook book;
    std::shared_ptr<StoreContact> contact;
    StoreFollower follower;
    ConfigurationPeers peers;
    std::map<VmIncarnation, RevisionSet> holders; ///< peers that had something newer than this VM
    bool requestPending = false;
    int ticks = 0;
    std::mt19937_64 generator;
    TimerSubscription tickTimer;
    TimerSubscription startTimer;
    TimerSubscription requestTimer;
};

} // namespace lacewingmux
