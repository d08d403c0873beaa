#include "lacewingmux_relay/store/RelayedStore.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

/** One watch, with the merged records of its prefix. */
class RelayedStore::RelayedWatch final : public PlatformStore::Watch
{
public:
    RelayedWatch(RelayedStore &relayedStore, const QByteArray &prefix, WatchCallback watchCallback)
        : owner(relayedStore)
        , ownerToken(relayedStore.lifetimeToken)
        , callback(std::move(watchCallback))
        , topic(prefix, relayedStore.relevance[prefix])
    { }

    ~RelayedWatch() override
    {
        if (!this->ownerToken.expired())
            this->owner.removeWatch(this);
    }

    /** Starts to watch the store, from where the topic is. */
    void useStore()
    {
        if (this->direct)
            return;
        this->direct = this->owner.inner->watchPrefix(
                this->topic.prefix(), this->topic.revision(),
                [this, guard = std::weak_ptr(this->lifetimeToken)](const StoreRecord &record) {
                    if (!guard.expired())
                        this->handleChange(record);
                });
        this->direct->addKnownKeys(this->topic.keys());
    }

    /** Stops watching the store. */
    void useRelays()
    {
        if (!this->direct)
            return;
        this->topic.setRevision(this->direct->revision());
        // The watch may be on the call stack, so it is destroyed later.
        this->owner.timers.post([ended = std::shared_ptr(std::move(this->direct))] {});
    }

    void applyUpdate(const RelayUpdate &update)
    {
        const std::vector<StoreRecord> changes = this->topic.apply(update);
        // The store's watch will not report these changes again, and this VM may relay them.
        for (const StoreRecord &change : changes)
            this->schedulePublish(change);
        this->addKeysOf(changes);
        this->report(changes);
    }

    [[nodiscard]] bool isKnown() const
    {
        return this->currentRevision() > 0;
    }

    [[nodiscard]] bool isComplete() const
    {
        return this->direct && this->direct->revision() > 0;
    }

    [[nodiscard]] const QByteArray &prefix() const
    {
        return this->topic.prefix();
    }

    [[nodiscard]] RelayUpdate contents() const
    {
        return {this->topic.prefix(), this->currentRevision(), true, this->topic.records()};
    }

private:
    [[nodiscard]] std::int64_t currentRevision() const
    {
        return std::max(this->topic.revision(), this->direct ? this->direct->revision() : 0);
    }

    void handleChange(const StoreRecord &change)
    {
        if (!this->topic.apply(change))
            return;
        this->schedulePublish(change);
        const WatchCallback notify = this->callback;
        notify(change);
    }

    /** Tells the store's watch which keys exist, so that it reports their deletion even if the
       store has dropped the history of it. */
    void addKeysOf(const std::vector<StoreRecord> &changes)
    {
        if (!this->direct)
            return;
        std::vector<QByteArray> keys;
        for (const StoreRecord &change : changes) {
            if (change.createRevision != 0)
                keys.push_back(change.key);
        }
        this->direct->addKnownKeys(keys);
    }

    void schedulePublish(const StoreRecord &change)
    {
        if (!this->owner.updateHook)
            return;
        if (this->unpublished.empty())
            this->owner.timers.post([this, guard = std::weak_ptr(this->lifetimeToken)] {
                if (!guard.expired())
                    this->publish();
            });
        this->unpublished.push_back(change);
    }

    void publish()
    {
        const RelayUpdate update{this->topic.prefix(), this->currentRevision(), false,
                                 std::exchange(this->unpublished, {})};
        if (this->owner.updateHook)
            this->owner.updateHook(update);
    }

    void report(const std::vector<StoreRecord> &changes)
    {
        const WatchCallback notify = this->callback;
        const std::weak_ptr guard = this->lifetimeToken;
        for (const StoreRecord &change : changes) {
            notify(change);
            if (guard.expired())
                return;
        }
    }

    RelayedStore &owner;
    std::weak_ptr<char> ownerToken;
    WatchCallback callback;
    RelayedTopic topic;
    std::unique_ptr<Watch> direct;        ///< the store's watch; null while relays are used
    std::vector<StoreRecord> unpublished; ///< changes for subscribers, until the end of the turn
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

RelayedStore::RelayedStore(std::unique_ptr<PlatformStore> platformStore, TimerService &timerService,
                           Source initialSource)
    : inner(std::move(platformStore))
    , timers(timerService)
    , source(initialSource)
{ }

RelayedStore::~RelayedStore() = default;

void RelayedStore::readPrefix(const QByteArray &prefix, ReadCallback callback)
{
    this->inner->readPrefix(prefix, std::move(callback));
}

void RelayedStore::read(const QByteArray &key, ReadCallback callback)
{
    this->inner->read(key, std::move(callback));
}

void RelayedStore::compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                                  const QByteArray &value, CompareAndSwapCallback callback,
                                  std::int64_t leaseId)
{
    this->inner->compareAndSwap(key, expectedModRevision, value, std::move(callback), leaseId);
}

void RelayedStore::grantLease(std::chrono::seconds timeToLive,
                              std::function<void(std::optional<std::int64_t>)> callback)
{
    this->inner->grantLease(timeToLive, std::move(callback));
}

void RelayedStore::keepAlive(std::int64_t leaseId, std::function<void(bool)> callback)
{
    this->inner->keepAlive(leaseId, std::move(callback));
}

std::unique_ptr<PlatformStore::Watch> RelayedStore::watchPrefix(const QByteArray &prefix,
                                                                std::int64_t, // the topic decides
                                                                WatchCallback callback)
{
    if (this->watches.contains(prefix))
        throw LacewingmuxError(
                ErrorKind::InternalError,
                QStringLiteral("the store prefix %1 is watched twice").arg(QString(prefix)));
    auto watch = std::make_unique<RelayedWatch>(*this, prefix, std::move(callback));
    this->watches.emplace(prefix, watch.get());
    if (this->usesStore(prefix) || prefix == this->bootstrapPrefix)
        watch->useStore();
    return watch;
}

void RelayedStore::setRelevance(const QByteArray &prefix,
                                RelayedTopic::RelevanceFunction isRelevant)
{
    this->relevance[prefix] = std::move(isRelevant);
}

void RelayedStore::setBootstrapPrefix(const QByteArray &prefix)
{
    this->bootstrapPrefix = prefix;
}

void RelayedStore::setSource(Source newSource)
{
    this->source = newSource;
    for (const auto &[prefix, watch] : this->watches) {
        if (this->usesStore(prefix))
            watch->useStore();
        else
            watch->useRelays();
    }
}

void RelayedStore::setUsesStore(const QByteArray &prefix, bool usesStore)
{
    if (usesStore)
        this->storePrefixes.insert(prefix);
    else
        this->storePrefixes.erase(prefix);
    const auto watch = this->watches.find(prefix);
    if (watch == this->watches.end())
        return;
    if (this->usesStore(prefix))
        watch->second->useStore();
    else
        watch->second->useRelays();
}

bool RelayedStore::usesStore(const QByteArray &prefix) const
{
    return this->source == Source::Store || this->storePrefixes.contains(prefix);
}

bool RelayedStore::isKnown(const QByteArray &prefix) const
{
    const auto watch = this->watches.find(prefix);
    return watch != this->watches.end() && watch->second->isKnown();
}

void RelayedStore::applyUpdate(const RelayUpdate &update)
{
    const auto watch = this->watches.find(update.prefix);
    if (watch != this->watches.end())
        watch->second->applyUpdate(update);
}

void RelayedStore::assumeUnreachable()
{
    this->inner->assumeUnreachable();
}

void RelayedStore::setProbePace(ProbePace pace)
{
    this->inner->setProbePace(pace);
}

void RelayedStore::setUpdateHook(UpdateHook hook)
{
    this->updateHook = std::move(hook);
}

bool RelayedStore::isComplete() const
{
    return std::all_of(this->watches.begin(), this->watches.end(),
                       [](const auto &entry) { return entry.second->isComplete(); });
}

std::vector<RelayUpdate> RelayedStore::contents() const
{
    std::vector<RelayUpdate> updates;
    for (const auto &[prefix, watch] : this->watches)
        updates.push_back(watch->contents());
    return updates;
}

std::optional<std::chrono::steady_clock::time_point> RelayedStore::lastContact() const
{
    return this->inner->lastContact();
}

void RelayedStore::removeWatch(RelayedWatch *watch)
{
    this->watches.erase(watch->prefix());
}

} // namespace lacewingmux
