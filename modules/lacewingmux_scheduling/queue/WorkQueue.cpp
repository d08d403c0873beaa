#include "lacewingmux_scheduling/queue/WorkQueue.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace lacewingmux {

WorkQueue::WorkQueue(const WorkQueueSettings &queueSettings)
    : settings(queueSettings)
{ }

void WorkQueue::push(const WorkItem &item, SteadyTime enqueuedAt)
{
    if (item.teamWeight <= 0)
        throw std::invalid_argument("the weight of a team must be above 0");
    const Rank rank = this->rankOf(item, enqueuedAt);
    if (!this->entries.emplace(item.id, Entry{item, rank}).second)
        throw std::invalid_argument("an item with this id waits already");
    const QString key = this->teamKey(item);
    Team &team = this->teams[key];
    if (team.waiting.empty())
        this->activate(key, team, item.teamWeight);
    team.waiting.insert(rank);
}

const WorkItem *WorkQueue::next() const
{
    if (this->waitingTeams.empty())
        return nullptr;
    const Team &team = this->teams.at(this->waitingTeams.begin()->second);
    return &this->entries.at(team.waiting.begin()->id).item;
}

bool WorkQueue::take(std::uint64_t id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return false;
    const QString key = this->teamKey(found->second.item);
    Team &team = this->teams.at(key);
    this->queueVirtualTime = std::max(this->queueVirtualTime, team.virtualTime);
    this->advance(key, team, static_cast<double>(found->second.item.expectedTokens));
    this->detach(key, found->second);
    this->entries.erase(found);
    return true;
}

bool WorkQueue::remove(std::uint64_t id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return false;
    this->detach(this->teamKey(found->second.item), found->second);
    this->entries.erase(found);
    return true;
}

void WorkQueue::settle(const WorkItem &taken, std::int64_t actualTokens)
{
    const QString key = this->teamKey(taken);
    const auto found = this->teams.find(key);
    if (found != this->teams.end())
        this->advance(key, found->second, static_cast<double>(actualTokens - taken.expectedTokens));
}

std::size_t WorkQueue::teamSize(const QString &team) const
{
    const auto found = this->teams.find(this->settings.fairBetweenTeams ? team : QString());
    return found == this->teams.end() ? 0 : found->second.waiting.size();
}

double WorkQueue::teamShare(const QString &team, double weight) const
{
    if (!this->settings.fairBetweenTeams)
        return 1;
    const bool isWaiting = this->teamSize(team) > 0;
    const double ownWeight = isWaiting ? this->teams.at(team).weight : weight;
    return ownWeight / (isWaiting ? this->waitingWeight : this->waitingWeight + weight);
}

int WorkQueue::enginePriority(const QString &team) const
{
    return this->teamSize(team) > 0 ? 1 : 0;
}

QString WorkQueue::teamKey(const WorkItem &item) const
{
    return this->settings.fairBetweenTeams ? item.team : QString();
}

WorkQueue::Rank WorkQueue::rankOf(const WorkItem &item, SteadyTime enqueuedAt)
{
    const std::chrono::duration<double> sinceEpoch = enqueuedAt.time_since_epoch();
    Rank rank{0, ++this->arrivals, item.id};
    if (this->settings.leastAttainedFirst)
        rank.virtualAttained = static_cast<double>(item.attainedTokens)
                               + this->settings.ageingTokensPerSecond * sinceEpoch.count();
    return rank;
}

void WorkQueue::activate(const QString &key, Team &team, double weight)
{
    team.weight = this->settings.fairBetweenTeams ? weight : 1;
    team.virtualTime = std::max(team.virtualTime, this->queueVirtualTime);
    this->waitingTeams.emplace(team.virtualTime, key);
    this->waitingWeight += team.weight;
}

void WorkQueue::advance(const QString &key, Team &team, double tokens)
{
    const bool isWaiting = this->waitingTeams.erase({team.virtualTime, key}) > 0;
    team.virtualTime += tokens / team.weight;
    if (isWaiting)
        this->waitingTeams.emplace(team.virtualTime, key);
}

void WorkQueue::detach(const QString &key, const Entry &entry)
{
    Team &team = this->teams.at(key);
    team.waiting.erase(entry.rank);
    if (!team.waiting.empty())
        return;
    this->waitingTeams.erase({team.virtualTime, key});
    this->waitingWeight = this->waitingTeams.empty() ? 0 : this->waitingWeight - team.weight;
    if (team.virtualTime <= this->queueVirtualTime)
        this->teams.erase(key);
}

} // namespace lacewingmux
