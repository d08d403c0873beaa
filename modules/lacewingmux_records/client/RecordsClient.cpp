#include "lacewingmux_records/client/RecordsClient.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <QStringList>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Enough for several disk syncs and round trips between zones. If opening takes longer, a retry by
// the caller is better.
constexpr milliseconds openingTimeout{900};
// A longer history is fetched in parts. Larger frames take more CPU time, as their memory is
// returned and cleared for each one.
constexpr qsizetype maximumWholeHistoryBytes = qsizetype{1024} * 1024;
// Twice the duration of a disk sync and a round trip between zones.
constexpr milliseconds historyHedgeDelay{25};
// Time after which a broken connection is established again.
constexpr milliseconds reconnectTime{250};
// Time after which the load balancer sends callers to VMs that can reach the records VMs.
constexpr milliseconds rerouteTime{1600};

/** Returns the names of VMs for a log line. */
QString namesOf(const std::vector<VmIncarnation> &vms)
{
    QStringList names;
    for (const VmIncarnation &vm : vms)
        names.push_back(vm.vm);
    return names.join(u',');
}

} // namespace

RecordsClient::RecordsClient(PeerHub &peerHub, TimerService &timerService,
                             MetricsRecorder &metricsRecorder,
                             const RecordsClientLimits &clientLimits,
                             std::function<void(const QByteArray &)> newerViewHook)
    : hub(peerHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , newerView(std::move(newerViewHook))
    , limits(clientLimits)
    , cache(clientLimits.cacheBytes)
{
    this->hub.setHandler(FrameKind::OpenTurnReply, [this](const auto &peer, const auto &frame) {
        this->handleOpenReply(peer, frame);
    });
    this->hub.setHandler(FrameKind::HistoryPart, [this](const auto &peer, const auto &frame) {
        this->handlePart(peer, frame);
    });
    this->hub.setHandler(FrameKind::WriteRecordsAck, [this](const auto &peer, const auto &frame) {
        this->handleAck(peer, frame);
    });
    this->hub.setHandler(FrameKind::RecordsViewNotice, [this](const auto &peer, const auto &frame) {
        this->handleViewNotice(peer, frame);
    });
    this->hub.addLinkHandler(
            [this](const VmIncarnation &peer, bool up) { this->handleLinkChange(peer, up); });
}

RecordsClient::~RecordsClient() = default;

void RecordsClient::setView(const RecordsView &newView)
{
    // While the groups may change, nothing may be stored.
    if (newView.number <= this->view.number || newView.isForming)
        return;
    this->view = newView;
    this->groups.clear();
    for (int group = 0; group < newView.groupCount(); ++group)
        this->groups.push_back(newView.ofGroup(group));
    newView.logAdoption();
    // Replies under the earlier view can't be counted together with those under this one.
    std::vector<std::uint64_t> correlations;
    for (auto &[correlation, opening] : this->pendingOpenings) {
        opening.quorum =
                TurnQuorum(opening.turn, this->viewOf(opening.group), opening.history.has_value());
        if (opening.transfer && opening.transfer->isComplete())
            opening.quorum.addHistory(opening.transfer->bytes());
        this->sendOpening(correlation, opening);
        correlations.push_back(correlation);
    }
    for (const std::uint64_t correlation : correlations)
        this->continueOpening(correlation);
    for (auto &[correlation, write] : this->pendingWrites) {
        write.copies.clear();
        this->sendWrite(correlation, write);
    }
}

void RecordsClient::open(const TurnRequest &turn, AdmissionCallback callback)
{
    std::optional<CachedHistory> cached;
    if (!turn.previousTurn.isEmpty())
        cached = this->cache.find(turn.previousTurn, turn.team, this->timers.now());
    const int group = this->view.groupOf(turn.program);
    if (!cached && !turn.previousTurn.isEmpty()) {
        this->openWithHistory(group, turn, std::move(callback));
        return;
    }
    const CachedHistory history = cached.value_or(CachedHistory{{}, group});
    if (!turn.budget)
        callback({TurnOutcome::Ready, history.bytes, milliseconds(0), history.group});
    else
        this->openInGroup(group, turn, history, std::move(callback));
}

void RecordsClient::openWithHistory(int group, const TurnRequest &turn, AdmissionCallback callback)
{
    this->openInGroup(group, turn, std::nullopt,
                      [this, group, turn, callback = std::move(callback),
                       alive = std::weak_ptr(this->lifetimeToken)](const TurnAdmission &admission) {
                          const bool mayBeElsewhere = admission.outcome == TurnOutcome::UnknownTurn
                                                      && !alive.expired()
                                                      && this->view.groupCount() > 1;
                          if (mayBeElsewhere)
                              this->searchOtherGroups(group, turn, callback);
                          else
                              callback(admission);
                      });
}

void RecordsClient::openInGroup(int group, const TurnRequest &turn,
                                const std::optional<CachedHistory> &history,
                                AdmissionCallback callback)
{
    const bool historyKnown = history.has_value();
    const std::uint64_t correlation = this->nextCorrelation++;
    PendingOpening &opening =
            this->pendingOpenings
                    .emplace(correlation,
                             PendingOpening{group,
                                            turn,
                                            TurnQuorum(turn, this->viewOf(group), historyKnown),
                                            std::move(callback),
                                            this->timers.now(),
                                            {},
                                            {},
                                            false,
                                            false,
                                            {},
                                            history})
                    .first->second;
    opening.timeout = this->timers.after(
            openingTimeout, [this, correlation] { this->handleOpeningTimeout(correlation); });
    if (!historyKnown)
        opening.historyHedgeTimer = this->timers.after(historyHedgeDelay, [this, correlation] {
            this->pendingOpenings.at(correlation).historyLate = true;
            this->continueOpening(correlation);
        });
    this->sendOpening(correlation, opening);
    this->continueOpening(correlation);
}

void RecordsClient::searchOtherGroups(int ownGroup, const TurnRequest &turn,
                                      AdmissionCallback callback)
{
    const auto search = std::make_shared<Search>();
    search->turn = turn;
    search->callback = std::move(callback);
    search->pending = this->view.groupCount() - 1;
    // The reservation stays in the program's group.
    TurnRequest lookup = turn;
    lookup.budget = std::nullopt;
    for (int group = 0; group < this->view.groupCount(); ++group) {
        if (group == ownGroup)
            continue;
        this->openInGroup(group, lookup, std::nullopt,
                          [this, search](const TurnAdmission &admission) {
                              this->handleSearchResult(*search, admission);
                          });
    }
}

void RecordsClient::handleSearchResult(Search &search, const TurnAdmission &admission)
{
    --search.pending;
    if (search.ended)
        return;
    if (admission.outcome == TurnOutcome::Ready) {
        search.ended = true;
        if (search.turn.budget)
            this->openInGroup(this->view.groupOf(search.turn.program), search.turn,
                              CachedHistory{admission.history, *admission.historyLocation},
                              search.callback);
        else
            search.callback(admission);
        return;
    }
    search.isUncertain = search.isUncertain || admission.outcome == TurnOutcome::Unavailable;
    search.retryAfter = std::max(search.retryAfter, admission.retryAfter);
    if (search.pending > 0)
        return;
    search.ended = true;
    search.callback({search.isUncertain ? TurnOutcome::Unavailable : TurnOutcome::UnknownTurn,
                     {},
                     search.retryAfter});
}

bool RecordsClient::hasQuorum() const
{
    return this->hasQuorumInHalfOfGroups(
            [this](const VmIncarnation &member) { return this->hub.isConnected(member); });
}

bool RecordsClient::hasResponsiveQuorum(milliseconds maximumSilence) const
{
    return this->hasQuorumInHalfOfGroups([this, maximumSilence](const VmIncarnation &member) {
        return this->hub.isResponsive(member, maximumSilence);
    });
}

bool RecordsClient::hasQuorumInHalfOfGroups(const MemberTest &isReachable) const
{
    const auto reachable = std::count_if(
            this->groups.begin(), this->groups.end(),
            [&isReachable](const auto &group) { return isQuorum(group, isReachable); });
    return this->view.number > 0
           && reachable * 2 >= static_cast<std::ptrdiff_t>(this->groups.size());
}

bool RecordsClient::hasQuorum(const RecordsView &group) const
{
    return isQuorum(group,
                    [this](const VmIncarnation &member) { return this->hub.isConnected(member); });
}

bool RecordsClient::isQuorum(const RecordsView &group, const MemberTest &isReachable)
{
    int membersWithReservations = 0;
    int membersStoringCopies = 0;
    for (const RecordsMember &member : group.members) {
        if (!isReachable(member.vm.incarnation))
            continue;
        membersWithReservations += member.hasAllRecords() ? 1 : 0;
        membersStoringCopies += group.countsAsCopy(member) ? 1 : 0;
    }
    return group.isReservationQuorum(membersWithReservations, membersStoringCopies);
}

const RecordsView &RecordsClient::viewOf(int group) const
{
    // Before the first view, a view without members refuses every turn.
    const auto index = static_cast<std::size_t>(group);
    return index < this->groups.size() ? this->groups[index] : this->view;
}

void RecordsClient::sendOpening(std::uint64_t correlation, PendingOpening &opening)
{
    OpenTurnMessage message = this->openMessage(opening);
    const bool needsHistory = !message.previousTurn.isEmpty();
    const RecordsView &group = this->viewOf(opening.group);
    const RecordsMember *source = needsHistory ? this->preferredSource(group) : nullptr;
    const QByteArray payloadWithoutHistory = RecordsCodec::encodeOpen(message);
    for (const RecordsMember &member : group.members) {
        QByteArray payload = payloadWithoutHistory;
        if (&member == source) {
            message.wantsHistory = true;
            payload = RecordsCodec::encodeOpen(message);
            opening.quorum.recordHistoryRequest(member.vm.incarnation);
        }
        if (!this->hub.send(member.vm.incarnation,
                            {FrameKind::OpenTurn, this->view.number, correlation, payload}))
            opening.quorum.addFailure(member.vm.incarnation);
    }
}

OpenTurnMessage RecordsClient::openMessage(const PendingOpening &opening) const
{
    OpenTurnMessage message;
    message.team = opening.turn.team;
    if (opening.turn.budget)
        message.reservation =
                this->recordOf(opening.turn, RecordKind::Reservation, opening.turn.maximumTokens);
    if (!opening.history)
        message.previousTurn = opening.turn.previousTurn;
    message.maximumHistoryBytes = maximumWholeHistoryBytes;
    return message;
}

const RecordsMember *RecordsClient::preferredSource(const RecordsView &group) const
{
    const RecordsMember *preferred = nullptr;
    for (const RecordsMember &member : group.members) {
        if (!member.hasAllRecords() || !this->hub.isConnected(member.vm.incarnation))
            continue;
        const bool sameZone = member.vm.incarnation.zone == this->hub.self().zone;
        if (preferred == nullptr || sameZone)
            preferred = &member;
    }
    return preferred;
}

void RecordsClient::handleOpenReply(const VmIncarnation &peer, const PeerFrame &frame)
{
    this->requestNewerView(peer, frame);
    const auto opening = this->pendingOpenings.find(frame.correlation);
    const auto message = RecordsCodec::decodeOpenReply(frame.payload);
    if (opening == this->pendingOpenings.end() || !message || frame.epoch != this->view.number)
        return;
    opening->second.quorum.addReply(peer, *message);
    if (message->historyInParts && !opening->second.transfer)
        opening->second.transfer.emplace();
    this->continueTransfer(frame.correlation);
    this->continueOpening(frame.correlation);
}

void RecordsClient::continueOpening(std::uint64_t correlation)
{
    const auto found = this->pendingOpenings.find(correlation);
    if (found == this->pendingOpenings.end())
        return;
    PendingOpening &opening = found->second;
    while (const VmIncarnation *nextSource =
                   opening.transfer ? nullptr
                                    : opening.quorum.nextHistorySource(opening.historyLate)) {
        const VmIncarnation source = *nextSource;
        opening.quorum.recordHistoryRequest(source);
        opening.historyLate = false;
        OpenTurnMessage message = this->openMessage(opening);
        message.wantsHistory = true;
        if (!this->hub.send(source, {FrameKind::OpenTurn, this->view.number, correlation,
                                     RecordsCodec::encodeOpen(message)}))
            opening.quorum.addFailure(source);
    }
    const std::optional<TurnOutcome> outcome = opening.quorum.outcome();
    if (!outcome
        || (*outcome == TurnOutcome::Unavailable && this->awaitsLinks(correlation, opening)))
        return;
    this->finishOpening(correlation, *outcome);
}

bool RecordsClient::awaitsLinks(std::uint64_t correlation, PendingOpening &opening)
{
    if (opening.quorum.failedMembers().empty() || opening.reconnectTimeIsOver)
        return false;
    if (!opening.reconnectTimer)
        opening.reconnectTimer = this->timers.after(reconnectTime, [this, correlation] {
            this->pendingOpenings.at(correlation).reconnectTimeIsOver = true;
            this->continueOpening(correlation);
        });
    return true;
}

void RecordsClient::handleOpeningTimeout(std::uint64_t correlation)
{
    PendingOpening &opening = this->pendingOpenings.at(correlation);
    const TimerService::SteadyTime now = this->timers.now();
    // A long history takes longer, or waits for others.
    const bool isProgressing = opening.transfer && !opening.transfer->isComplete()
                               && now - this->lastPartAt < openingTimeout
                               && now < opening.turn.deadline;
    if (isProgressing)
        opening.timeout = this->timers.after(
                openingTimeout, [this, correlation] { this->handleOpeningTimeout(correlation); });
    else
        this->finishOpening(correlation, TurnOutcome::Unavailable);
}

void RecordsClient::finishOpening(std::uint64_t correlation, TurnOutcome outcome)
{
    auto entry = this->pendingOpenings.extract(correlation);
    if (entry.empty())
        return;
    PendingOpening &opening = entry.mapped();
    opening.timeout.cancel();
    opening.partTimer.cancel();
    TurnAdmission admission;
    admission.outcome = outcome;
    if (outcome == TurnOutcome::Unavailable)
        admission.retryAfter =
                this->hasQuorum(this->viewOf(opening.group)) ? reconnectTime : rerouteTime;
    if (outcome == TurnOutcome::Ready && !opening.history) {
        opening.history = CachedHistory{opening.quorum.history(), opening.group};
        this->cache.put(opening.turn.previousTurn, opening.turn.team, *opening.history,
                        this->timers.now() + opening.turn.retention);
        this->metrics.count("lacewingmux_histories_fetched_total", {}, 1);
    }
    if (outcome == TurnOutcome::Ready) {
        admission.history = opening.history->bytes;
        admission.historyLocation = opening.history->group;
    }
    if (outcome != TurnOutcome::Ready)
        this->logNotOpened(opening, outcome);
    if (opening.transfer)
        this->continueWaitingTransfers();
    opening.callback(admission);
}

void RecordsClient::logNotOpened(const PendingOpening &opening, TurnOutcome outcome) const
{
    const auto duration = std::chrono::floor<milliseconds>(this->timers.now() - opening.startedAt);
    const auto &failed = opening.quorum.failedMembers();
    LogEvent(LogSeverity::Info, "turnNotOpened")
            .field("request", QString::fromLatin1(opening.turn.request))
            .field("outcome", static_cast<int>(outcome))
            .field("previousTurn", QString::fromLatin1(opening.turn.previousTurn))
            .field("view", static_cast<quint64>(this->view.number))
            .field("milliseconds", static_cast<qint64>(duration.count()))
            .field("pending", namesOf(opening.quorum.pendingMembers()))
            .field("unreachable", namesOf({failed.begin(), failed.end()}));
}

void RecordsClient::handleViewNotice(const VmIncarnation &, const PeerFrame &frame)
{
    const auto document = RecordsCodec::decodeNotice(frame.payload);
    if (!document)
        return;
    const std::optional<RecordsView> newer = RecordsView::fromDocument(*document);
    if (newer && newer->number > this->view.number)
        this->newerView(*document);
}

void RecordsClient::requestNewerView(const VmIncarnation &peer, const PeerFrame &answer)
{
    // A member answers any request under an older view with its own view; this one asks no more.
    if (answer.epoch > this->view.number)
        this->hub.send(peer, {FrameKind::WriteRecords, this->view.number, 0,
                              RecordsCodec::encodeRecords({})});
}

void RecordsClient::sendPendingAgain(const VmIncarnation &peer)
{
    // What was sent before the connection broke may be lost.
    for (auto &[correlation, write] : this->pendingWrites) {
        if (this->viewOf(write.group).member(peer) == nullptr)
            continue;
        write.unacknowledged.insert(peer);
        this->hub.send(peer, {FrameKind::WriteRecords, this->view.number, correlation,
                              RecordsCodec::encodeRecords({write.record})});
    }
    for (auto &[correlation, opening] : this->pendingOpenings) {
        if (this->viewOf(opening.group).member(peer) == nullptr
            || !opening.quorum.failedMembers().contains(peer))
            continue;
        opening.quorum.removeFailure(peer);
        this->hub.send(peer, {FrameKind::OpenTurn, this->view.number, correlation,
                              RecordsCodec::encodeOpen(this->openMessage(opening))});
    }
}

void RecordsClient::handleLinkChange(const VmIncarnation &peer, bool up)
{
    if (up) {
        this->sendPendingAgain(peer);
        return;
    }
    std::vector<std::uint64_t> affected;
    std::vector<std::uint64_t> brokenTransfers;
    for (auto &[correlation, opening] : this->pendingOpenings) {
        opening.quorum.addFailure(peer);
        affected.push_back(correlation);
        if (opening.transfer && opening.transfer->source() == peer)
            brokenTransfers.push_back(correlation);
    }
    for (const std::uint64_t correlation : brokenTransfers)
        this->changeTransferSource(correlation);
    for (const std::uint64_t correlation : affected)
        this->continueOpening(correlation);
}

} // namespace lacewingmux
