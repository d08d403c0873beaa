#include "lacewingmux_backend/orders/CacheReleaseTracker.h"

#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds firstBackoff{100};
constexpr std::chrono::milliseconds maxBackoff{10000};

} // namespace

CacheReleaseTracker::CacheReleaseTracker(TimerService &timerService, std::mt19937_64 &randomSource,
                                         SendOrder orderSender, Released releasedHandler)
    : timers(timerService)
    , random(randomSource)
    , sendOrder(std::move(orderSender))
    , released(std::move(releasedHandler))
{ }

void CacheReleaseTracker::recordPrefixHolder(const QString &program, const QString &replica)
{
    if (program.isEmpty())
        return;
    this->holdersOf[program].insert(replica);
    const auto pending = this->orders.find({program, replica});
    if (pending != this->orders.end() && !pending->second.endsProgram)
        this->orders.erase(pending);
}

void CacheReleaseTracker::endProgram(const QString &program,
                                     const std::vector<QString> &allReplicas)
{
    std::vector<QString> replicas = this->holders(program);
    if (replicas.empty())
        replicas = allReplicas;
    if (replicas.empty()) {
        this->released(program);
        return;
    }
    // All orders are added before the first is sent. Otherwise the confirmation of an early one
    // would count as the last and report the program as released.
    for (const QString &replica : replicas)
        this->addOrder({program, replica}, true);
    for (const QString &replica : replicas)
        this->send({program, replica});
}

void CacheReleaseTracker::dropPrefix(const QString &program)
{
    for (const QString &replica : this->holders(program)) {
        if (this->orders.contains({program, replica}))
            continue;
        this->addOrder({program, replica}, false);
        this->send({program, replica});
    }
}

void CacheReleaseTracker::replicaCleared(const QString &replica)
{
    std::vector<OrderKey> cleared;
    for (const auto &entry : this->orders) {
        if (entry.first.replica == replica)
            cleared.push_back(entry.first);
    }
    for (auto holder = this->holdersOf.begin(); holder != this->holdersOf.end();) {
        holder->second.erase(replica);
        holder = holder->second.empty() ? this->holdersOf.erase(holder) : std::next(holder);
    }
    for (const OrderKey &key : cleared)
        this->removeOrder(key);
}

std::vector<QString> CacheReleaseTracker::holders(const QString &program) const
{
    const auto found = this->holdersOf.find(program);
    if (found == this->holdersOf.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

void CacheReleaseTracker::addOrder(const OrderKey &key, bool endsProgram)
{
    PendingOrder order;
    order.kind = endsProgram ? EngineOrderKind::EndProgram : EngineOrderKind::DropCache;
    order.endsProgram = endsProgram;
    order.serial = ++this->lastSerial;
    order.backoff = firstBackoff;
    this->orders.insert_or_assign(key, std::move(order));
}

void CacheReleaseTracker::send(const OrderKey &key)
{
    const auto found = this->orders.find(key);
    if (found == this->orders.end())
        return;
    const std::uint64_t serial = found->second.serial;
    this->sendOrder(key.replica, found->second.kind, key.program,
                    [this, alive = std::weak_ptr<char>(this->lifetimeToken), key,
                     serial](OrderOutcome outcome) {
                        if (!alive.expired())
                            this->sendFinished(key, serial, outcome);
                    });
}

void CacheReleaseTracker::sendFinished(const OrderKey &key, std::uint64_t serial,
                                       OrderOutcome outcome)
{
    const auto found = this->orders.find(key);
    if (found == this->orders.end() || found->second.serial != serial)
        return;
    PendingOrder &order = found->second;
    if (outcome == OrderOutcome::Unsupported && order.kind == EngineOrderKind::EndProgram) {
        order.kind = EngineOrderKind::DropCache;
        this->scheduleRetry(key, order);
    } else if (outcome == OrderOutcome::Done || outcome == OrderOutcome::Unsupported) {
        this->removeOrder(key);
    } else {
        this->scheduleRetry(key, order);
    }
}

void CacheReleaseTracker::scheduleRetry(const OrderKey &key, PendingOrder &order)
{
    const double jitter = std::uniform_real_distribution<double>(0.5, 1)(this->random);
    const auto delay = std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(
            jitter * static_cast<double>(order.backoff.count())));
    order.backoff = std::min(order.backoff * 2, maxBackoff);
    order.retry = this->timers.after(delay, [this, key] { this->send(key); });
}

void CacheReleaseTracker::removeOrder(const OrderKey &key)
{
    // The parameter may refer to a part of the erased order.
    const OrderKey keyCopy = key;
    const bool endedProgram = this->orders.at(keyCopy).endsProgram;
    this->orders.erase(keyCopy);
    this->removeHolder(keyCopy);
    if (endedProgram && !this->isEnding(keyCopy.program))
        this->released(keyCopy.program);
}

void CacheReleaseTracker::removeHolder(const OrderKey &key)
{
    const auto found = this->holdersOf.find(key.program);
    if (found == this->holdersOf.end())
        return;
    found->second.erase(key.replica);
    if (found->second.empty())
        this->holdersOf.erase(found);
}

bool CacheReleaseTracker::isEnding(const QString &program) const
{
    const auto first = this->orders.lower_bound({program, QString()});
    return first != this->orders.end() && first->first.program == program
           && first->second.endsProgram;
}

} // namespace lacewingmux
