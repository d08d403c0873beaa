#pragma once

#include "lacewingmux_config/service/ConfigurationMessages.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QByteArray>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace lacewingmux {

/**
    Follows the operators' records in the platform's store: by watches, and by asking now and then
    for the revisions alone, which shows both that the store is there and that no watch is deaf.
*/
class StoreFollower
{
public:
    /** How often a follower asks. */
    static constexpr std::chrono::milliseconds pollInterval{2000};

    /** Takes a record as the store has it. */
    using FileHandler = std::function<void(const ConfigurationFile &file)>;

    /** Takes the moment at which the store is known to have had nothing newer. */
    using ContactHandler = std::function<void(TimerService::SteadyTime asOf)>;

    StoreFollower(PlatformStore &platformStore, TimerService &timerService, FileHandler handleFile,
                  ContactHandler handleContact);
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /** Starts or stops watching and asking. */
    void setFollowing(bool follow);

    /** Asks once. */
    void poll();

private:
    /** One prefix of the store and how far it was read. */
    struct Source
    {
        QByteArray prefix;
        std::map<QByteArray, std::int64_t> knownRevisions;
        std::int64_t highestRevision = 0;
        bool asking = false;
        bool wasRead = false; ///< since following started
        std::unique_ptr<PlatformStore::Watch> watch;
    };

    void ask(Source &source);
    void handleRevisions(Source &source, TimerService::SteadyTime asked,
                         const std::optional<std::vector<StoreRecord>> &records);
    void read(Source &source, TimerService::SteadyTime asked);
    void handleRead(Source &source, TimerService::SteadyTime asked,
                    const std::optional<std::vector<StoreRecord>> &records);
    void finish(Source &source, TimerService::SteadyTime asked);
    void openWatch(Source &source);
    void take(Source &source, const StoreRecord &record);

    PlatformStore &store;
    TimerService &timers;
    FileHandler fileHandler;
    ContactHandler contactHandler;
    std::array<Source, 2> sources; ///< the configuration and the keys
    std::array<TimerService::SteadyTime, 2> contacts{};
    bool following = false;
    TimerSubscription pollTimer;
    std::shared_ptr<bool> alive; ///< expires with this object
};

} // namespace lacewingmux
