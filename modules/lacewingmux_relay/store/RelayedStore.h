#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_relay/messages/RelayStatus.h"
#include "lacewingmux_relay/messages/RelayUpdate.h"
#include "lacewingmux_relay/store/RelayedTopic.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    The platform's store, whose watches are served either by the store itself or by relays.

    Reads and writes always go to the store. When the source changes, a watch continues from the
    revision that it has reached, and its owner notices nothing.
*/
class RelayedStore final : public PlatformStore
{
public:
    /** Where watches get their changes from. */
    enum class Source : std::uint8_t { Store, Relays };

    using UpdateHook = std::function<void(const RelayUpdate &)>;

    RelayedStore(std::unique_ptr<PlatformStore> platformStore, TimerService &timerService,
                 Source initialSource);
    ~RelayedStore() override;

    void readPrefix(const QByteArray &prefix, ReadCallback callback) override;
    void read(const QByteArray &key, ReadCallback callback) override;
    void compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                        const QByteArray &value, CompareAndSwapCallback callback,
                        std::int64_t leaseId = 0) override;
    void grantLease(std::chrono::seconds timeToLive,
                    std::function<void(std::optional<std::int64_t>)> callback) override;
    void keepAlive(std::int64_t leaseId, std::function<void(bool)> callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watchPrefix(const QByteArray &prefix,
                                                     std::int64_t afterRevision,
                                                     WatchCallback callback) override;

    /** Sets which changes below a prefix matter; must be called before the prefix is watched. */
    void setRelevance(const QByteArray &prefix, RelayedTopic::RelevanceFunction isRelevant);

    /** Lets the watch of a prefix use the store until relays serve it for the first time, whatever
        the source is; must be called before the prefix is watched. */
    void setBootstrapPrefix(const QByteArray &prefix);

    /** Sets where the watches get their changes from. */
    void setSource(Source newSource);

    /** Sets whether the watch of a prefix uses the store whatever the source is, because no relay
        serves that prefix. */
    void setUsesStore(const QByteArray &prefix, bool usesStore);

    /** Returns whether the contents below a watched prefix have been read, from any source. */
    [[nodiscard]] bool isKnown(const QByteArray &prefix) const;

    /** Applies an update from a relay. */
    void applyUpdate(const RelayUpdate &update);

    /** Treats the store as unreachable until it answers a watch again. */
    void assumeUnreachable() override;

    /** Sets how often the watches probe the store while it is unreachable. */
    void setProbePace(ProbePace pace) override;

    /** Sets the hook that receives the changes of all watches, for subscribers. */
    void setUpdateHook(UpdateHook hook);

    /** Returns whether every watch has read its prefix from the store. */
    [[nodiscard]] bool isComplete() const;

    /** Returns everything that is known below the watched prefixes, as full updates. */
    [[nodiscard]] std::vector<RelayUpdate> contents() const;

    /** Returns when the store last answered a watch, or nothing. */
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> lastContact() const override;

private:
    class RelayedWatch;

    void removeWatch(RelayedWatch *watch);
    /** Returns whether the watch of the prefix uses the store. */
    [[nodiscard]] bool usesStore(const QByteArray &prefix) const;

    std::unique_ptr<PlatformStore> inner;
    TimerService &timers;
    Source source;
    QByteArray bootstrapPrefix;
    std::set<QByteArray> storePrefixes; ///< use the store whatever the source is
    std::map<QByteArray, RelayedTopic::RelevanceFunction> relevance; ///< by prefix
    std::map<QByteArray, RelayedWatch *> watches;                    ///< by prefix
    UpdateHook updateHook;
    /** Expires with this object, so that watches can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
