#include "lacewingmux_records/client/FleetQuota.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval{50};
constexpr milliseconds replyTimeout{150}; // dozens of round trips; then another records VM is asked
constexpr milliseconds maximumStartWait{250}; // a new program can retry at little cost
// Refusing a call ends a program that is already in progress, so it waits as long as a call may.
constexpr milliseconds maximumCallWait{900};
constexpr milliseconds unreachableTimeout{1000}; // time for a connection to a records VM to recover
constexpr milliseconds unreachableRetryDelay{1500}; // until the load balancer redirects callers
// Delay after which a request asks again when no records VM has answered one.
constexpr milliseconds silentRecordsRetryDelay{500};
constexpr milliseconds minimumRetryDelay{50}; // an earlier retry would only be refused again
// Delay of the next round if no member has a lease for the team's rate at the moment.
constexpr milliseconds noHolderRetryDelay{100};
// Replicas come and go, so the queues of their limits are not kept for ever.
constexpr std::chrono::seconds queueRetention{60};
// Members that are asked beyond those that should hold the parts: two may have lost their leases.
constexpr std::size_t successorsAsked = 2;

/** Returns when a caller may retry that was refused without records VMs: when one is asked again,
   or after the usual delay if none is connected. */
milliseconds withoutRecordsRetryDelay(TimerService::SteadyTime askedAgainAt,
                                      TimerService::SteadyTime now)
{
    if (askedAgainAt <= now)
        return unreachableRetryDelay;
    return std::max(minimumRetryDelay, std::chrono::ceil<milliseconds>(askedAgainAt - now));
}

} // namespace

FleetQuota::FleetQuota(PeerHub &peerHub, TimerService &timerService,
                       std::function<void(const ConfigurationDocumentMessage &)> hook)
    : hub(peerHub)
    , timers(timerService)
    , configuration(peerHub, std::move(hook))
{
    this->hub.setHandler(FrameKind::GrantTokensReply, [this](const auto &peer, const auto &frame) {
        this->handleReply(peer, frame);
    });
    this->timer = this->timers.every(tickInterval, [this] { this->checkQueues(); });
}

FleetQuota::~FleetQuota() = default;

void FleetQuota::take(const QuotaRequest &request, Callback callback)
{
    const TimerService::SteadyTime now = this->timers.now();
    Queue &queue = this->queues[keyOf(request)];
    queue.request = request;
    queue.lastUsed = now;
    queue.tokenCache.recordDemand(now);
    if (queue.waiting.empty() && queue.tokenCache.take(now)) {
        this->requestTokens(queue);
        callback({true, milliseconds(0)});
        return;
    }
    if (request.refusedWithoutRecords && this->isWithoutRecords(request.team)) {
        callback({false, withoutRecordsRetryDelay(this->withoutRecordsUntil, now)});
        return;
    }
    const auto ahead = static_cast<std::int64_t>(queue.waiting.size());
    const milliseconds wait =
            std::max(milliseconds(0), std::chrono::ceil<milliseconds>(queue.nextTokenAt - now))
            + ahead * this->timePerToken(queue);
    if (now < queue.nextTokenAt && wait > maximumWait(queue)) {
        callback({false, std::max(minimumRetryDelay, wait)});
        return;
    }
    queue.waiting.push_back({std::move(callback), now});
    this->requestTokens(queue);
}

void FleetQuota::refund(const QuotaRequest &request)
{
    if (request.tokenLife)
        return;
    Queue &queue = this->queues[keyOf(request)];
    queue.tokenCache.put(1, this->timers.now());
    this->serveWaiting(queue);
}

void FleetQuota::setView(const RecordsView &newView)
{
    if (newView.number <= this->view.number)
        return;
    this->view = newView;
    std::erase_if(this->lateMembers,
                  [&newView](const auto &late) { return newView.member(late) == nullptr; });
    this->placements.clear();
    for (int group = 0; group < newView.groupCount(); ++group)
        this->placements.emplace_back(newView.ofGroup(group));
}

void FleetQuota::setConfiguration(const ConfigurationDocumentMessage &newest)
{
    this->configuration.setConfiguration(newest);
}

void FleetQuota::requestTokens(Queue &queue)
{
    if (queue.isRequesting || this->timers.now() < queue.nextTokenAt)
        return;
    const int wanted =
            queue.tokenCache.wanted(static_cast<int>(queue.waiting.size()), this->timers.now());
    const std::vector<VmIncarnation> candidates = this->sources(queue.request.team);
    if (wanted <= 0 || candidates.empty())
        return;
    auto next = nextSource(queue, candidates);
    if (next == candidates.end()) {
        beginRound(queue);
        next = candidates.begin();
    }
    const VmIncarnation &member = *next;
    const std::uint64_t correlation = this->nextCorrelation++;
    GrantTokensMessage message;
    message.configurationVersion = this->configuration.version();
    message.demands.push_back({queue.request.team.name, queue.request.team.requestsPerSecond,
                               queue.request.team.burst, wanted, queue.request.reserve});
    if (!this->hub.send(member, {FrameKind::GrantTokens, this->view.number, correlation,
                                 RecordsCodec::encodeGrant(message)}))
        return;
    queue.isRequesting = true;
    this->unanswered.emplace(correlation,
                             PendingRequest{keyOf(queue.request), member, this->timers.now()});
}

void FleetQuota::handleReply(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeGrantReply(frame.payload);
    const auto entry = this->unanswered.extract(frame.correlation);
    this->lateMembers.erase(peer);
    if (!message)
        return;
    this->lastReply = this->timers.now();
    this->withoutRecordsUntil = {};
    this->configuration.requestIfNewer(peer, message->configurationVersion);
    if (entry.empty() || message->grants.empty())
        return; // too late: the tokens have expired
    const PendingRequest &request = entry.mapped();
    const TeamGrantMessage &grant = message->grants.front();
    Queue &queue = this->queues[request.key];
    // The lifetime of the tokens starts when the request was sent.
    queue.tokenCache.put(grant.granted, request.sentAt,
                         queue.request.tokenLife.value_or(QuotaTokenCache::tokenLife));
    this->serveWaiting(queue);
    if (request.timedOut)
        return;
    queue.isRequesting = false;
    queue.askedMembers.insert(peer);
    if (grant.isHolder) {
        ++queue.holdersAsked;
        queue.contenders = std::max(1, grant.contenders);
        queue.shortestRetryAfter =
                std::min(queue.shortestRetryAfter.value_or(grant.retryAfter), grant.retryAfter);
    }
    const GatewayTeam &team = queue.request.team;
    const bool allAsked =
            queue.holdersAsked >= QuotaPlacement::parts(team.requestsPerSecond, team.burst)
            || this->hasAskedAll(queue);
    if (queue.waiting.empty())
        beginRound(queue);
    else if (!allAsked)
        this->requestTokens(queue);
    else
        this->endRound(request.key, queue);
}

std::vector<VmIncarnation>::const_iterator
FleetQuota::nextSource(const Queue &queue, const std::vector<VmIncarnation> &candidates)
{
    return std::find_if(candidates.begin(), candidates.end(), [&queue](const auto &member) {
        return !queue.askedMembers.contains(member);
    });
}

bool FleetQuota::hasAskedAll(const Queue &queue) const
{
    const std::vector<VmIncarnation> candidates = this->sources(queue.request.team);
    return nextSource(queue, candidates) == candidates.end();
}

void FleetQuota::beginRound(Queue &queue)
{
    queue.askedMembers.clear();
    queue.holdersAsked = 0;
    queue.shortestRetryAfter.reset();
}

void FleetQuota::serveWaiting(Queue &queue)
{
    const TimerService::SteadyTime now = this->timers.now();
    while (!queue.waiting.empty() && queue.tokenCache.take(now)) {
        const Callback callback = std::move(queue.waiting.front().callback);
        queue.waiting.pop_front();
        callback({true, milliseconds(0)});
    }
}

void FleetQuota::endRound(const QueueKey &key, Queue &queue)
{
    const milliseconds wait =
            std::max(milliseconds(1), queue.shortestRetryAfter.value_or(noHolderRetryDelay));
    beginRound(queue);
    queue.nextTokenAt = this->timers.now() + wait;
    queue.retryTimer =
            this->timers.after(wait, [this, key] { this->requestTokens(this->queues[key]); });
    const milliseconds spacing = this->timePerToken(queue);
    if (!queue.request.mayWait) {
        // Until then the other entry VMs get the tokens.
        this->refuseBeyond(queue, 0, std::max(wait, spacing));
        return;
    }
    const milliseconds room = std::max(milliseconds(0), maximumWait(queue) - wait);
    this->refuseBeyond(queue, static_cast<std::size_t>(room / spacing), wait);
    this->refuseImpatient(queue, wait);
}

void FleetQuota::refuseImpatient(Queue &queue, milliseconds nextTokenIn)
{
    const TimerService::SteadyTime nextTokenAt = this->timers.now() + nextTokenIn;
    const milliseconds patience = maximumWait(queue);
    // The longest waiting ones come first.
    while (!queue.waiting.empty() && nextTokenAt - queue.waiting.front().since > patience) {
        const Callback callback = std::move(queue.waiting.front().callback);
        queue.waiting.pop_front();
        callback({false, std::max(minimumRetryDelay, nextTokenIn)});
    }
}

void FleetQuota::refuseBeyond(Queue &queue, std::size_t maximumWaiting, milliseconds retryAfter)
{
    if (queue.waiting.size() <= maximumWaiting)
        return;
    std::vector<Waiting> refused;
    while (queue.waiting.size() > maximumWaiting) {
        refused.push_back(std::move(queue.waiting.back()));
        queue.waiting.pop_back();
    }
    // The retries are spread, so that the refused callers do not all return at once.
    milliseconds wait = std::max(minimumRetryDelay, retryAfter);
    for (auto waiting = refused.rbegin(); waiting != refused.rend(); ++waiting) {
        waiting->callback({false, wait});
        wait += this->timePerToken(queue);
    }
}

FleetQuota::QueueKey FleetQuota::keyOf(const QuotaRequest &request)
{
    return {request.team.name, request.reserve, request.mayWait};
}

milliseconds FleetQuota::maximumWait(const Queue &queue)
{
    if (!queue.request.mayWait)
        return milliseconds(0);
    return queue.request.reserve > 0 ? maximumStartWait : maximumCallWait;
}

milliseconds FleetQuota::timePerToken(const Queue &queue)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double rate = std::max(1.0, queue.request.team.requestsPerSecond) / queue.contenders;
    return std::max(milliseconds(1),
                    milliseconds(static_cast<std::int64_t>(millisecondsPerSecond / rate)));
}

void FleetQuota::checkQueues()
{
    const TimerService::SteadyTime now = this->timers.now();
    this->expireLateRequests(now);
    this->removeUnusedQueues(now);
    for (auto &[key, queue] : this->queues) {
        if (queue.waiting.empty())
            continue;
        const milliseconds timeout = key.mayWait ? unreachableTimeout : replyTimeout;
        const bool isRefused =
                queue.request.refusedWithoutRecords && this->isWithoutRecords(queue.request.team);
        if (isRefused || now - queue.waiting.front().since > timeout) {
            LogEvent(LogSeverity::Warning, "quotaUnknown")
                    .field("team", QString::fromUtf8(key.team))
                    .field("waiting", static_cast<qint64>(queue.waiting.size()))
                    .field("recordsVms",
                           static_cast<qint64>(this->sources(queue.request.team).size()));
            this->refuseBeyond(queue, 0,
                               isRefused ? withoutRecordsRetryDelay(this->withoutRecordsUntil, now)
                                         : unreachableRetryDelay);
            continue;
        }
        this->requestTokens(queue);
    }
}

void FleetQuota::removeUnusedQueues(TimerService::SteadyTime now)
{
    std::erase_if(this->queues, [now](const auto &entry) {
        const Queue &queue = entry.second;
        return queue.waiting.empty() && !queue.isRequesting
               && now - queue.lastUsed > queueRetention;
    });
}

void FleetQuota::expireLateRequests(TimerService::SteadyTime now)
{
    std::erase_if(this->unanswered, [now](const auto &entry) {
        return entry.second.timedOut && now - entry.second.sentAt >= QuotaTokenCache::tokenLife;
    });
    for (auto &[correlation, request] : this->unanswered) {
        if (request.timedOut || now - request.sentAt <= replyTimeout)
            continue;
        request.timedOut = true;
        this->lateMembers.insert(request.member);
        if (this->lastReply < request.sentAt)
            this->withoutRecordsUntil = now + silentRecordsRetryDelay;
        Queue &queue = this->queues[request.key];
        queue.isRequesting = false;
        queue.askedMembers.insert(request.member);
    }
}

bool FleetQuota::isWithoutRecords(const GatewayTeam &team) const
{
    return this->timers.now() < this->withoutRecordsUntil || this->sources(team).empty();
}

std::vector<VmIncarnation> FleetQuota::sources(const GatewayTeam &team) const
{
    const auto parts =
            static_cast<std::size_t>(QuotaPlacement::parts(team.requestsPerSecond, team.burst));
    if (this->placements.empty())
        return {};
    const auto group = static_cast<std::size_t>(this->view.groupOf(team.name));
    const std::vector<VmIncarnation> &ranking = this->placements[group].ranking(team.name);
    const std::size_t holders = std::min(parts, ranking.size());
    std::vector<VmIncarnation> candidates(ranking.begin(),
                                          ranking.begin() + static_cast<std::ptrdiff_t>(holders));
    // Entry VMs start with different holders, so that none gets most of the requests.
    if (holders > 0)
        std::rotate(candidates.begin(),
                    candidates.begin()
                            + static_cast<std::ptrdiff_t>(stableHash(this->hub.self().vm.toUtf8())
                                                          % holders),
                    candidates.end());
    std::stable_partition(candidates.begin(), candidates.end(), [this](const auto &member) {
        return member.zone == this->hub.self().zone;
    });
    candidates.insert(candidates.end(), ranking.begin() + static_cast<std::ptrdiff_t>(holders),
                      ranking.end());
    std::erase_if(candidates,
                  [this](const auto &member) { return !this->hub.isConnected(member); });
    candidates.resize(std::min(candidates.size(), parts + successorsAsked));
    // A member that does not answer would delay each request of each team by the reply timeout. It
    // stays a candidate, as the answer to a later request shows that it has recovered.
    std::stable_partition(candidates.begin(), candidates.end(), [this](const auto &member) {
        return !this->lateMembers.contains(member);
    });
    return candidates;
}

} // namespace lacewingmux
