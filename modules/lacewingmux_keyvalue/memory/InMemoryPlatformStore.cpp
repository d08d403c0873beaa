#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"

namespace lacewingmux {

/** Keeps the state of one watch; the server forgets it when this goes. */
class InMemoryPlatformStore::OpenWatch final : public PlatformStore::Watch
{
public:
    explicit OpenWatch(std::shared_ptr<InMemoryStoreServer::WatchState> watchState)
        : state(std::move(watchState))
    { }

    [[nodiscard]] std::int64_t revision() const override
    {
        return this->state->seenRevision;
    }

private:
    std::shared_ptr<InMemoryStoreServer::WatchState> state;
};

InMemoryPlatformStore::InMemoryPlatformStore(std::shared_ptr<InMemoryStoreServer> sharedServer,
                                             QString clientName)
    : server(std::move(sharedServer))
    , client(std::move(clientName))
    , alive(std::make_shared<bool>(true))
{ }

InMemoryPlatformStore::~InMemoryPlatformStore() = default;

void InMemoryPlatformStore::readPrefix(const QByteArray &prefix, ReadCallback callback)
{
    this->readRange(KeyRange::withPrefix(prefix), std::move(callback));
}

void InMemoryPlatformStore::read(const QByteArray &key, ReadCallback callback)
{
    this->readRange(KeyRange::single(key), std::move(callback));
}

void InMemoryPlatformStore::readRange(const KeyRange &keys, ReadCallback callback)
{
    const auto found = std::make_shared<std::vector<StoreRecord>>();
    this->server->call(
            this->client, false,
            [keys, found](KeyValueTable &table) { *found = table.range(keys); },
            [found, callback = std::move(callback),
             guard = std::weak_ptr<bool>(this->alive)](Delivery delivery) {
                if (guard.expired())
                    return;
                if (delivery == Delivery::Replied)
                    callback(*found);
                else
                    callback(std::nullopt);
            });
}

void InMemoryPlatformStore::compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                                           const QByteArray &value, CompareAndSwapCallback callback,
                                           std::int64_t leaseId)
{
    const auto result = std::make_shared<CompareAndSwapResult>();
    const auto swap = [key, expectedModRevision, value, leaseId, result](KeyValueTable &table) {
        const std::optional<StoreRecord> before = table.find(key);
        const std::int64_t revision = before ? before->modRevision : 0;
        if (leaseId != 0 && !table.hasLease(leaseId)) {
            *result = {CompareAndSwapOutcome::NotSent, std::nullopt};
            return;
        }
        if (revision != expectedModRevision) {
            *result = {CompareAndSwapOutcome::Conflict, before};
            return;
        }
        table.write({{KeyValueWrite::Kind::Put, KeyRange::single(key), value, leaseId}});
        *result = {CompareAndSwapOutcome::Applied, table.find(key)};
    };
    this->server->call(this->client, true, swap,
                       [result, callback = std::move(callback),
                        guard = std::weak_ptr<bool>(this->alive)](Delivery delivery) {
                           if (guard.expired())
                               return;
                           if (delivery == Delivery::Replied)
                               callback(*result);
                           else if (delivery == Delivery::NotReached)
                               callback({CompareAndSwapOutcome::NotSent, std::nullopt});
                           else
                               callback({CompareAndSwapOutcome::Unknown, std::nullopt});
                       });
}

void InMemoryPlatformStore::grantLease(std::chrono::seconds timeToLive,
                                       std::function<void(std::optional<std::int64_t>)> callback)
{
    const auto leaseId = std::make_shared<std::int64_t>(0);
    TimerService &timers = this->server->timers;
    this->server->call(
            this->client, true,
            [leaseId, timeToLive, &timers](KeyValueTable &table) {
                *leaseId = table.grantLease(timeToLive, timers.now());
            },
            [leaseId, callback = std::move(callback),
             guard = std::weak_ptr<bool>(this->alive)](Delivery delivery) {
                if (guard.expired())
                    return;
                if (delivery == Delivery::Replied)
                    callback(*leaseId);
                else
                    callback(std::nullopt);
            });
}

void InMemoryPlatformStore::keepAlive(std::int64_t leaseId, std::function<void(bool)> callback)
{
    const auto held = std::make_shared<bool>(false);
    TimerService &timers = this->server->timers;
    this->server->call(
            this->client, false,
            [held, leaseId, &timers](KeyValueTable &table) {
                *held = table.keepAlive(leaseId, timers.now()).has_value();
            },
            [held, callback = std::move(callback),
             guard = std::weak_ptr<bool>(this->alive)](Delivery delivery) {
                if (!guard.expired())
                    callback(delivery == Delivery::Replied && *held);
            });
}

std::unique_ptr<PlatformStore::Watch> InMemoryPlatformStore::watchPrefix(const QByteArray &prefix,
                                                                         std::int64_t afterRevision,
                                                                         WatchCallback callback)
{
    const auto state = std::make_shared<InMemoryStoreServer::WatchState>();
    state->client = this->client;
    state->keys = KeyRange::withPrefix(prefix);
    state->seenRevision = afterRevision;
    state->callback = std::move(callback);
    this->server->addWatch(state);
    return std::make_unique<OpenWatch>(state);
}

} // namespace lacewingmux
