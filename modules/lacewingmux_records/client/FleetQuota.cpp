#include "lacewingmux_records/client/FleetQuota.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval{50};
constexpr milliseconds answerLimit{150}; // dozens of round trips; then another records VM is asked
constexpr milliseconds longestStartWait{250}; // a new program had better come back
// A refused call ends a program that has got far, so it waits as long as a call may take.
constexpr milliseconds longestCallWait{900};
constexpr milliseconds unreachableWait{1000};  // for a link to a records VM to come back
constexpr milliseconds unreachableRetry{1500}; // until the balancer sends callers elsewhere
constexpr milliseconds shortestRetry{50}; // below it a refused caller would only be refused again

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
    this->timer = this->timers.every(tickInterval, [this] { this->tick(); });
}

FleetQuota::~FleetQuota() = default;

void FleetQuota::take(const QuotaRequest &request, Callback callback)
{
    const TimerService::SteadyTime now = this->timers.now();
    Queue &queue = this->queues[{request.team.name, request.reserve}];
    queue.request = request;
    queue.pocket.noteDemand(now);
    if (queue.waiting.empty() && queue.pocket.take(now)) {
        this->ask(queue);
        callback({true, milliseconds(0)});
        return;
    }
    const auto ahead = static_cast<std::int64_t>(queue.waiting.size());
    const milliseconds wait =
            std::max(milliseconds(0), std::chrono::ceil<milliseconds>(queue.nextToken - now))
            + ahead * this->timePerToken(queue);
    if (now < queue.nextToken && wait > longestWait(queue)) {
        callback({false, std::max(shortestRetry, wait)});
        return;
    }
    queue.waiting.push_back({std::move(callback), now});
    this->ask(queue);
}

void FleetQuota::refund(const QuotaRequest &request)
{
    Queue &queue = this->queues[{request.team.name, request.reserve}];
    queue.pocket.put(1, this->timers.now());
    this->serveWaiting(queue);
}

void FleetQuota::setView(const RecordsView &newView)
{
    if (newView.number > this->view.number)
        this->view = newView;
}

void FleetQuota::setConfiguration(const ConfigurationDocumentMessage &newest)
{
    this->configuration.setConfiguration(newest);
}

void FleetQuota::ask(Queue &queue)
{
    if (queue.asking || this->timers.now() < queue.nextToken)
        return;
    const int wanted =
            queue.pocket.wanted(static_cast<int>(queue.waiting.size()), this->timers.now());
    const std::vector<VmIncarnation> candidates = this->sources();
    if (wanted <= 0 || candidates.empty())
        return;
    queue.asked = queue.asked < candidates.size() ? queue.asked : 0;
    const std::uint64_t number = this->nextNumber++;
    GrantTokensMessage message;
    message.configurationVersion = this->configuration.version();
    message.demands.push_back({queue.request.team.name, queue.request.team.requestsPerSecond,
                               queue.request.team.burst, wanted, queue.request.reserve});
    if (!this->hub.send(candidates[queue.asked], {FrameKind::GrantTokens, this->view.number, number,
                                                  RecordsCodec::encodeGrant(message)}))
        return;
    queue.asking = true;
    this->unanswered.emplace(
            number, Question{{queue.request.team.name, queue.request.reserve}, this->timers.now()});
}

void FleetQuota::handleReply(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeGrantReply(frame.payload);
    const auto entry = this->unanswered.extract(frame.correlation);
    if (!message)
        return;
    this->configuration.askIfNewer(peer, message->configurationVersion);
    this->entryVms = std::max(1, message->entryVms);
    if (entry.empty() || message->grants.empty())
        return; // so late that the tokens have lapsed
    const Question &question = entry.mapped();
    const TeamGrantMessage &grant = message->grants.front();
    Queue &queue = this->queues[question.key];
    // The wait for the reply counts as part of the tokens' life.
    queue.pocket.put(grant.granted, question.askedAt);
    this->serveWaiting(queue);
    if (question.givenUp)
        return;
    queue.asking = false;
    queue.shortestWait =
            queue.asked == 0 ? grant.retryAfter : std::min(queue.shortestWait, grant.retryAfter);
    ++queue.asked;
    if (queue.waiting.empty())
        queue.asked = 0;
    else if (queue.asked < this->sources().size())
        this->ask(queue);
    else
        this->endRound(question.key, queue);
}

void FleetQuota::serveWaiting(Queue &queue)
{
    const TimerService::SteadyTime now = this->timers.now();
    while (!queue.waiting.empty() && queue.pocket.take(now)) {
        const Callback callback = std::move(queue.waiting.front().callback);
        queue.waiting.pop_front();
        callback({true, milliseconds(0)});
    }
}

void FleetQuota::endRound(const QueueKey &key, Queue &queue)
{
    queue.asked = 0;
    const milliseconds wait = std::max(milliseconds(1), queue.shortestWait);
    queue.nextToken = this->timers.now() + wait;
    queue.repeat = this->timers.after(wait, [this, key] { this->ask(this->queues[key]); });
    const milliseconds spacing = this->timePerToken(queue);
    const milliseconds room = std::max(milliseconds(0), longestWait(queue) - wait);
    this->refuseBeyond(queue, static_cast<std::size_t>(room / spacing), wait);
}

void FleetQuota::refuseBeyond(Queue &queue, std::size_t kept, milliseconds retryAfter)
{
    if (queue.waiting.size() <= kept)
        return;
    std::vector<Waiting> refused;
    while (queue.waiting.size() > kept) {
        refused.push_back(std::move(queue.waiting.back()));
        queue.waiting.pop_back();
    }
    // Those that come back later find room one after another, not all at once.
    milliseconds wait = std::max(shortestRetry, retryAfter);
    for (auto waiting = refused.rbegin(); waiting != refused.rend(); ++waiting) {
        waiting->callback({false, wait});
        wait += this->timePerToken(queue);
    }
}

milliseconds FleetQuota::longestWait(const Queue &queue)
{
    return queue.request.reserve > 0 ? longestStartWait : longestCallWait;
}

milliseconds FleetQuota::timePerToken(const Queue &queue) const
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double rate = std::max(1.0, queue.request.team.requestsPerSecond) / this->entryVms;
    return std::max(milliseconds(1),
                    milliseconds(static_cast<std::int64_t>(millisecondsPerSecond / rate)));
}

void FleetQuota::tick()
{
    const TimerService::SteadyTime now = this->timers.now();
    this->giveUpLateQuestions(now);
    for (auto &[key, queue] : this->queues) {
        if (queue.waiting.empty())
            continue;
        if (now - queue.waiting.front().since > unreachableWait) {
            LogEvent(LogSeverity::Warning, "quotaUnknown")
                    .field("team", QString::fromUtf8(key.first))
                    .field("waiting", static_cast<qint64>(queue.waiting.size()))
                    .field("recordsVms", static_cast<qint64>(this->sources().size()));
            this->refuseBeyond(queue, 0, unreachableRetry);
            continue;
        }
        this->ask(queue);
    }
}

void FleetQuota::giveUpLateQuestions(TimerService::SteadyTime now)
{
    std::erase_if(this->unanswered, [now](const auto &entry) {
        return entry.second.givenUp && now - entry.second.askedAt >= QuotaPocket::tokenLife;
    });
    for (auto &[number, question] : this->unanswered) {
        if (question.givenUp || now - question.askedAt <= answerLimit)
            continue;
        question.givenUp = true;
        Queue &queue = this->queues[question.key];
        queue.asking = false;
        ++queue.asked;
    }
}

std::vector<VmIncarnation> FleetQuota::sources() const
{
    std::vector<VmIncarnation> near;
    std::vector<VmIncarnation> far;
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &incarnation = member.vm.incarnation;
        if (member.state == MemberState::Leaving || !this->hub.isConnected(incarnation))
            continue;
        (incarnation.zone == this->hub.self().zone ? near : far).push_back(incarnation);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

} // namespace lacewingmux
