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
constexpr milliseconds longestWait{500}; // of a request, before it had better come back
constexpr milliseconds unreachableRetry{300};
constexpr milliseconds shortestRetry{50}; // below it a refused caller would only be refused again

} // namespace

FleetQuota::FleetQuota(PeerHub &peerHub, TimerService &timerService,
                       std::function<void(const ConfigurationDocumentMessage &)> hook)
    : hub(peerHub)
    , timers(timerService)
    , newerConfiguration(std::move(hook))
{
    this->hub.setHandler(FrameKind::GrantTokensReply, [this](const auto &peer, const auto &frame) {
        this->handleReply(peer, frame);
    });
    this->hub.setHandler(
            FrameKind::ConfigurationDocumentRequest, [this](const auto &peer, const auto &) {
                this->hub.send(peer, {FrameKind::ConfigurationDocumentReply, 0, 0,
                                      RecordsCodec::encodeConfiguration(this->configuration)});
            });
    this->hub.setHandler(FrameKind::ConfigurationDocumentReply,
                         [this](const auto &, const auto &frame) {
                             const auto message = RecordsCodec::decodeConfiguration(frame.payload);
                             if (message && message->version > this->configuration.version)
                                 this->newerConfiguration(*message);
                         });
    this->timer = this->timers.every(tickInterval, [this] { this->tick(); });
}

FleetQuota::~FleetQuota() = default;

void FleetQuota::take(const GatewayTeam &limits, Callback callback)
{
    const TimerService::SteadyTime now = this->timers.now();
    Team &team = this->teams[limits.name];
    team.limits = limits;
    team.pocket.noteDemand(now);
    if (team.waiting.empty() && team.pocket.take(now)) {
        this->ask(team);
        callback({true, milliseconds(0)});
        return;
    }
    if (now < team.exhaustedUntil) {
        const auto wait = std::chrono::ceil<milliseconds>(team.exhaustedUntil - now);
        callback({false, std::max(shortestRetry, wait)});
        return;
    }
    team.waiting.push_back({std::move(callback), now});
    this->ask(team);
}

void FleetQuota::setView(const RecordsView &newView)
{
    if (newView.number > this->view.number)
        this->view = newView;
}

void FleetQuota::setConfiguration(const ConfigurationDocumentMessage &newest)
{
    if (newest.version > this->configuration.version)
        this->configuration = newest;
}

void FleetQuota::ask(Team &team)
{
    if (team.asking)
        return;
    const int wanted =
            team.pocket.wanted(static_cast<int>(team.waiting.size()), this->timers.now());
    const std::vector<VmIncarnation> candidates = this->sources();
    if (wanted <= 0 || candidates.empty())
        return;
    team.sourceIndex %= static_cast<int>(candidates.size());
    const std::uint64_t number = this->nextNumber++;
    GrantTokensMessage message;
    message.configurationVersion = this->configuration.version;
    message.demands.push_back(
            {team.limits.name, team.limits.requestsPerSecond, team.limits.burst, wanted});
    if (!this->hub.send(candidates[static_cast<std::size_t>(team.sourceIndex)],
                        {FrameKind::GrantTokens, this->view.number, number,
                         RecordsCodec::encodeGrant(message)}))
        return;
    team.asking = true;
    this->asked.emplace(number, std::make_pair(team.limits.name, this->timers.now()));
}

void FleetQuota::handleReply(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeGrantReply(frame.payload);
    const auto question = this->asked.extract(frame.correlation);
    if (!message)
        return;
    if (message->configurationVersion > this->configuration.version)
        this->hub.send(peer, {FrameKind::ConfigurationDocumentRequest, 0, 0, {}});
    const TimerService::SteadyTime now = this->timers.now();
    for (const TeamGrantMessage &grant : message->grants) {
        const auto found = this->teams.find(grant.team);
        if (found == this->teams.end())
            continue;
        // The wait for the reply counts as part of the tokens' life.
        if (!question.empty())
            found->pocket.put(grant.granted, question.mapped().second);
        if (question.empty())
            continue;
        found->asking = false;
        this->serveWaiting(*found);
        if (found->waiting.empty()) {
            found->sourceIndex = grant.granted > 0 ? found->sourceIndex : 0;
            continue;
        }
        found->shortestWait = found->shortestWait.count() == 0
                                      ? grant.retryAfter
                                      : std::min(found->shortestWait, grant.retryAfter);
        const int sourceCount = static_cast<int>(this->sources().size());
        if (++found->sourceIndex < sourceCount) {
            this->ask(*found);
            continue;
        }
        found->sourceIndex = 0;
        const milliseconds wait = std::exchange(found->shortestWait, milliseconds(0));
        found->exhaustedUntil = now + wait;
        this->refuseWaiting(*found, wait);
    }
}

void FleetQuota::serveWaiting(Team &team)
{
    const TimerService::SteadyTime now = this->timers.now();
    while (!team.waiting.empty() && team.pocket.take(now)) {
        const Callback callback = std::move(team.waiting.front().callback);
        team.waiting.pop_front();
        callback({true, milliseconds(0)});
    }
}

void FleetQuota::refuseWaiting(Team &team, milliseconds retryAfter)
{
    // Those that come back later find room one after another, not all at once.
    const milliseconds spread =
            team.limits.requestsPerSecond > 0 ? milliseconds(
                    static_cast<std::int64_t>(1000.0 / team.limits.requestsPerSecond))
                                              : milliseconds(0);
    milliseconds wait = std::max(shortestRetry, retryAfter);
    std::deque<Waiting> refused = std::exchange(team.waiting, {});
    for (const Waiting &waiting : refused) {
        waiting.callback({false, wait});
        wait += spread;
    }
}

void FleetQuota::tick()
{
    const TimerService::SteadyTime now = this->timers.now();
    while (!this->asked.empty() && now - this->asked.begin()->second.second > answerLimit) {
        const auto lost = this->asked.extract(this->asked.begin());
        Team &team = this->teams[lost.mapped().first];
        team.asking = false;
        ++team.sourceIndex;
    }
    for (Team &team : this->teams) {
        if (team.waiting.empty())
            continue;
        if (now - team.waiting.front().since > longestWait) {
            LogEvent(LogSeverity::Warning, "quotaUnknown")
                    .field("team", QString::fromUtf8(team.limits.name))
                    .field("waiting", static_cast<qint64>(team.waiting.size()))
                    .field("recordsVms", static_cast<qint64>(this->sources().size()));
            this->refuseWaiting(team, unreachableRetry);
            continue;
        }
        this->ask(team);
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
