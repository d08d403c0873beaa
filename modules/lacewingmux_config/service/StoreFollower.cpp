#include "lacewingmux_config/service/StoreFollower.h"

#include "lacewingmux_config/keys/KeyShard.h"
#include "lacewingmux_config/records/ConfigurationRegister.h"

#include <algorithm>

namespace lacewingmux {

StoreFollower::StoreFollower(PlatformStore &platformStore, TimerService &timerService,
                             FileHandler handleFile, ContactHandler handleContact)
    : store(platformStore)
    , timers(timerService)
    , fileHandler(std::move(handleFile))
    , contactHandler(std::move(handleContact))
    , alive(std::make_shared<bool>(true))
{
    this->sources[0].prefix = ConfigurationRegister::storeKey;
    this->sources[1].prefix = KeyShard::storePrefix;
}

void StoreFollower::setFollowing(bool follow)
{
    if (follow == this->following)
        return;
    this->following = follow;
    for (Source &source : this->sources) {
        source.watch.reset();
        source.wasRead = false;
    }
    if (!follow) {
        this->pollTimer.cancel();
        return;
    }
    this->pollTimer = this->timers.every(pollInterval, [this] { this->poll(); });
    this->poll();
}

void StoreFollower::poll()
{
    for (Source &source : this->sources)
        this->ask(source);
}

void StoreFollower::ask(Source &source)
{
    if (source.asking)
        return;
    source.asking = true;
    this->store.readRevisions(source.prefix,
                              [this, &source, asked = this->timers.now(),
                               guard = std::weak_ptr<bool>(this->alive)](const auto &records) {
                                  if (!guard.expired())
                                      this->handleRevisions(source, asked, records);
                              });
}

void StoreFollower::handleRevisions(Source &source, TimerService::SteadyTime asked,
                                    const std::optional<std::vector<StoreRecord>> &records)
{
    if (!records) {
        source.asking = false;
        return;
    }
    const bool changed =
            std::any_of(records->begin(), records->end(), [&source](const StoreRecord &record) {
                const auto known = source.knownRevisions.find(record.key);
                return known == source.knownRevisions.end() || known->second < record.modRevision;
            });
    if (changed)
        this->read(source, asked);
    else
        this->finish(source, asked);
}

void StoreFollower::read(Source &source, TimerService::SteadyTime asked)
{
    this->store.readPrefix(
            source.prefix,
            [this, &source, asked, guard = std::weak_ptr<bool>(this->alive)](const auto &records) {
                if (!guard.expired())
                    this->handleRead(source, asked, records);
            });
}

void StoreFollower::handleRead(Source &source, TimerService::SteadyTime asked,
                               const std::optional<std::vector<StoreRecord>> &records)
{
    if (!records) {
        source.asking = false;
        return;
    }
    for (const StoreRecord &record : *records)
        this->take(source, record);
    this->finish(source, asked);
}

void StoreFollower::finish(Source &source, TimerService::SteadyTime asked)
{
    source.asking = false;
    source.wasRead = true;
    this->openWatch(source);
    const auto index = static_cast<std::size_t>(&source - this->sources.data());
    this->contacts[index] = asked;
    this->contactHandler(*std::min_element(this->contacts.begin(), this->contacts.end()));
}

void StoreFollower::openWatch(Source &source)
{
    if (!this->following || source.watch)
        return;
    source.watch = this->store.watchPrefix(
            source.prefix, source.highestRevision,
            [this, &source](const StoreRecord &record) { this->take(source, record); });
}

void StoreFollower::take(Source &source, const StoreRecord &record)
{
    source.highestRevision = std::max(source.highestRevision, record.modRevision);
    std::int64_t &known = source.knownRevisions[record.key];
    // A deleted record stays in force: nothing reverts, and its next revision must be higher.
    if (record.modRevision <= known || record.createRevision == 0)
        return;
    known = record.modRevision;
    this->fileHandler({record.key, record.value});
}

} // namespace lacewingmux
