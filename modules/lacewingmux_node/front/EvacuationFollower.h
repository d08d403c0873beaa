#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace lacewingmux {

class MetricsRecorder;
class RelayedStore;
struct RelayContact;

/**
    The zones that operators have asked to evacuate, as an entry VM follows them in the platform's
    store: a zone is evacuated while its key exists, whatever the value is.

    Relays pass the keys on like the other contents of the store. While relays serve this VM but
    none of them sends these keys, because they run an earlier build, the keys alone are watched in
    the store. What was last known stays in force while no source answers.
*/
class EvacuationFollower
{
public:
    /** The hook receives the evacuated zones once they are known, and after each change. */
    using ChangeHook = std::function<void(const std::set<QByteArray> &zones)>;

    EvacuationFollower(RelayedStore &relayedStore, TimerService &timerService,
                       MetricsRecorder &metricsRecorder, const QByteArray &prefix,
                       ChangeHook changeHook);
    EvacuationFollower(const EvacuationFollower &) = delete;
    EvacuationFollower &operator=(const EvacuationFollower &) = delete;

    /** Watches the store if the relays that serve this VM do not send the keys: after the delay if
        the keys are known, otherwise at once. */
    void handleRelayContact(const RelayContact &contact, std::chrono::milliseconds fallbackDelay);

    /** Returns whether the hook has been called. */
    [[nodiscard]] bool isKnown() const noexcept
    {
        return this->known;
    }

private:
    void update(const StoreRecord &record);
    void reportZone(const QByteArray &zone, std::int64_t revision) const;
    void schedulePublish();
    /** Calls the hook, unless the keys have not been read yet. */
    void publish();

    RelayedStore &store;
    TimerService &timers;
    MetricsRecorder &metrics;
    QByteArray keyPrefix;
    ChangeHook changed;
    std::set<QByteArray> zones;
    bool known = false;
    bool publishPosted = false;
    bool isRelayed = true; ///< false while the store is, or soon will be, watched for the keys
    TimerSubscription firstReadTimer; ///< until the keys have been read
    TimerSubscription fallbackTimer;
    /** Expires with this object, so that posted calls can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
    std::unique_ptr<PlatformStore::Watch> watch;
};

} // namespace lacewingmux
