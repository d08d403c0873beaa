#include "lacewingmux_backend/orders/CacheReleases.h"

#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds firstBackoff{100};
constexpr std::chrono::milliseconds longestBackoff{10000};

} // namespace

CacheReleases::CacheReleases(TimerService &timerService, std::mt19937_64 &randomSource,
                             SendOrder orderSender, Released releasedHandler)
    : timers(timerService)
    , random(randomSource)
    , sendOrder(std::move(orderSender))
    , released(std::move(releasedHandler))
{ }

void CacheReleases::mayHold(const QString &program, const QString &replica)
{
    if (program.isEmpty())
        return;
    this->holdersOf[program].insert(replica);
    const auto pending = this->orders.find({program, replica});
    if (pending != this->orders.end() && !pending->second.endsProgram)
        this->orders.erase(pending);
}

void CacheReleases::end(const QString &program, const std::vector<QString> &allReplicas)
{
    std::vector<QString> replicas = this->holders(program);
    if (replicas.empty())
        replicas = allReplicas;
    if (replicas.empty()) {
        this->released(program);
        return;
    }
    // All are entered before the first is sent, so that none is confirmed as the last too soon.
    for (const QString &replica : replicas)
        this->start({program, replica}, true);
    for (const QString &replica : replicas)
        this->send({program, replica});
}

void CacheReleases::drop(const QString &program)
{
    for (const QString &replica : this->holders(program)) {
        if (this->orders.contains({program, replica}))
            continue;
        this->start({program, replica}, false);
        this->send({program, replica});
    }
}

void CacheReleases::replicaCleared(const QString &replica)
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
        this->confirmed(key);
}

std::vector<QString> CacheReleases::holders(const QString &program) const
{
    const auto found = this->holdersOf.find(program);
    if (found == this->holdersOf.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

void CacheReleases::start(const OrderKey &key, bool endsProgram)
{
    PendingOrder order;
    order.kind = endsProgram ? EngineOrderKind::EndProgram : EngineOrderKind::DropCache;
    order.endsProgram = endsProgram;
    order.serial = ++this->lastSerial;
    order.backoff = firstBackoff;
    this->orders.insert_or_assign(key, std::move(order));
}

void CacheReleases::send(const OrderKey &key)
{
    const auto found = this->orders.find(key);
    if (found == this->orders.end())
        return;
    const std::uint64_t serial = found->second.serial;
    this->sendOrder(
            key.replica, found->second.kind, key.program,
            [this, alive = std::weak_ptr<char>(this->lifetime), key, serial](OrderOutcome outcome) {
                if (!alive.expired())
                    this->answered(key, serial, outcome);
            });
}

void CacheReleases::answered(const OrderKey &key, std::uint64_t serial, OrderOutcome outcome)
{
    const auto found = this->orders.find(key);
    if (found == this->orders.end() || found->second.serial != serial)
        return;
    PendingOrder &order = found->second;
    if (outcome == OrderOutcome::Unsupported && order.kind == EngineOrderKind::EndProgram) {
        order.kind = EngineOrderKind::DropCache;
        this->sendLater(key, order);
    } else if (outcome == OrderOutcome::Done || outcome == OrderOutcome::Unsupported) {
        this->confirmed(key);
    } else {
        this->sendLater(key, order);
    }
}

void CacheReleases::sendLater(const OrderKey &key, PendingOrder &order)
{
    const double part = std::uniform_real_distribution<double>(0.5, 1)(this->random);
    const auto delay = std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(
            part * static_cast<double>(order.backoff.count())));
    order.backoff = std::min(order.backoff * 2, longestBackoff);
    order.retry = this->timers.after(delay, [this, key] { this->send(key); });
}

void CacheReleases::confirmed(const OrderKey &key)
{
    const OrderKey kept = key;
    const bool endedProgram = this->orders.at(kept).endsProgram;
    this->orders.erase(kept);
    this->forgetHolder(kept);
    if (endedProgram && !this->isEnding(kept.program))
        this->released(kept.program);
}

void CacheReleases::forgetHolder(const OrderKey &key)
{
    const auto found = this->holdersOf.find(key.program);
    if (found == this->holdersOf.end())
        return;
    found->second.erase(key.replica);
    if (found->second.empty())
        this->holdersOf.erase(found);
}

bool CacheReleases::isEnding(const QString &program) const
{
    const auto first = this->orders.lower_bound({program, QString()});
    return first != this->orders.end() && first->first.program == program
           && first->second.endsProgram;
}

} // namespace lacewingmux
