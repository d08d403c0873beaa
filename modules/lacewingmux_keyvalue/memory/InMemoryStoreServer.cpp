#include "lacewingmux_keyvalue/memory/InMemoryStoreServer.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds leaseCheckInterval{250};

} // namespace

InMemoryStoreServer::InMemoryStoreServer(TimerService &timerService)
    : timers(timerService)
    , leaseTimer(timerService.every(leaseCheckInterval, [this] {
        this->keyValues.expireLeases(this->timers.now());
        this->scheduleWatches();
    }))
{ }

void InMemoryStoreServer::setDown(bool down)
{
    this->isDown = down;
    this->scheduleWatches();
}

void InMemoryStoreServer::setCut(const QString &client, bool cut)
{
    if (cut)
        this->cutClients.insert(client);
    else
        this->cutClients.erase(client);
    this->scheduleWatches();
}

void InMemoryStoreServer::setDelay(std::chrono::milliseconds roundTrip)
{
    this->roundTripDelay = roundTrip;
}

void InMemoryStoreServer::loseWriteReplies(int count)
{
    this->repliesToLose = count;
}

void InMemoryStoreServer::compact()
{
    this->keyValues.compact(this->keyValues.revision());
}

void InMemoryStoreServer::put(const QByteArray &key, const QByteArray &value)
{
    this->keyValues.write({{KeyValueWrite::Kind::Put, KeyRange::single(key), value, 0}});
    this->scheduleWatches();
}

void InMemoryStoreServer::remove(const QByteArray &key)
{
    this->keyValues.write({{KeyValueWrite::Kind::Remove, KeyRange::single(key), {}, 0}});
    this->scheduleWatches();
}

std::int64_t InMemoryStoreServer::calls(const QString &client) const
{
    const auto found = this->callsByClient.find(client);
    return found == this->callsByClient.end() ? 0 : found->second;
}

void InMemoryStoreServer::call(const QString &client, bool isWrite, Step step,
                               Completion completion)
{
    ++this->callsByClient[client];
    this->later(this->roundTripDelay / 2, [this, client, isWrite, step = std::move(step),
                                           completion = std::move(completion)]() mutable {
        this->finishCall(client, isWrite, step, std::move(completion));
    });
}

void InMemoryStoreServer::finishCall(const QString &client, bool isWrite, const Step &step,
                                     Completion completion)
{
    if (!this->reaches(client)) {
        completion(Delivery::NotReached);
        return;
    }
    step(this->keyValues);
    this->scheduleWatches();
    const bool lost = isWrite && this->repliesToLose > 0;
    if (lost)
        --this->repliesToLose;
    const auto wait = lost ? replyTimeout : this->roundTripDelay - this->roundTripDelay / 2;
    this->later(wait, [this, client, lost, completion = std::move(completion)] {
        completion(!lost && this->reaches(client) ? Delivery::Replied : Delivery::ReplyLost);
    });
}

void InMemoryStoreServer::addWatch(const std::shared_ptr<WatchState> &watch)
{
    ++this->callsByClient[watch->client];
    this->watches.push_back(watch);
    this->scheduleWatches();
}

void InMemoryStoreServer::scheduleWatches()
{
    this->later(this->roundTripDelay / 2, [this] { this->deliverWatches(); });
}

void InMemoryStoreServer::deliverWatches()
{
    std::erase_if(this->watches, [](const auto &watch) { return watch.expired(); });
    const std::vector<std::weak_ptr<WatchState>> open = this->watches;
    for (const auto &watch : open) {
        const std::shared_ptr<WatchState> locked = watch.lock();
        if (locked && this->reaches(locked->client))
            this->deliver(*locked);
    }
}

void InMemoryStoreServer::deliver(WatchState &watch)
{
    std::vector<KeyValueEvent> events;
    if (watch.seenRevision >= this->keyValues.compactedRevision()) {
        events = this->keyValues.eventsAfter(watch.seenRevision, watch.keys);
    } else {
        for (const StoreRecord &record : this->keyValues.range(watch.keys)) {
            if (record.modRevision > watch.seenRevision)
                events.push_back(KeyValueEvent{record.modRevision, false, record});
        }
    }
    watch.seenRevision = std::max(watch.seenRevision, this->keyValues.revision());
    const auto callback = watch.callback;
    for (const KeyValueEvent &event : events)
        callback(event.record);
}

bool InMemoryStoreServer::reaches(const QString &client) const
{
    return !this->isDown && !this->cutClients.contains(client);
}

void InMemoryStoreServer::later(std::chrono::milliseconds delay, std::function<void()> action)
{
    const std::uint64_t number = this->nextPending++;
    this->pending[number] = this->timers.after(delay, [this, number, action = std::move(action)] {
        const auto held = this->pending.extract(number);
        action();
    });
}

} // namespace lacewingmux
