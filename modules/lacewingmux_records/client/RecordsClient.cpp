#include "lacewingmux_records/client/RecordsClient.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Several syncs and round trips between zones; below it a caller had better come back.
constexpr milliseconds openingTimeout{900};
// Twice what a sync and a round trip between zones take.
constexpr milliseconds historyPatience{25};
// After which a broken link is up again.
constexpr milliseconds relinkTime{250};
// After which the balancer sends callers to VMs that reach the records.
constexpr milliseconds rerouteTime{1600};
// A whole turn is worth waiting for: giving it up costs the program a turn.
constexpr milliseconds writingTimeout{1500};
// How long the records of a program without retained turns are kept, at least.
constexpr milliseconds shortestRetention{60000};

} // namespace

RecordsClient::RecordsClient(PeerHub &peerHub, TimerService &timerService,
                             MetricsRecorder &metricsRecorder, qsizetype cacheBytes,
                             std::function<void(const QByteArray &)> newerViewHook)
    : hub(peerHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , newerView(std::move(newerViewHook))
    , cache(cacheBytes)
{
    this->hub.setHandler(FrameKind::OpenTurnReply, [this](const auto &peer, const auto &frame) {
        this->handleOpenReply(peer, frame);
    });
    this->hub.setHandler(FrameKind::WriteRecordsAck, [this](const auto &peer, const auto &frame) {
        this->handleAck(peer, frame);
    });
    this->hub.setHandler(FrameKind::RecordsViewNotice, [this](const auto &peer, const auto &frame) {
        this->handleNotice(peer, frame);
    });
    this->hub.addLinkHandler(
            [this](const VmIncarnation &peer, bool up) { this->handleLink(peer, up); });
}

RecordsClient::~RecordsClient() = default;

void RecordsClient::setView(const RecordsView &newView)
{
    if (newView.number <= this->view.number)
        return;
    this->view = newView;
    newView.logAdoption();
    // Answers under the earlier view can't be added to those under this one.
    std::vector<std::uint64_t> numbers;
    for (auto &[number, opening] : this->openings) {
        opening.quorum =
                TurnQuorum(opening.turn, this->view,
                           !opening.cachedHistory.isEmpty() || opening.turn.previousTurn.isEmpty());
        this->sendOpening(number, opening);
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers)
        this->advance(number);
    for (auto &[number, writing] : this->writings) {
        writing.copies = 0;
        this->sendWriting(number, writing);
    }
}

void RecordsClient::open(const TurnRequest &turn, AdmissionCallback callback)
{
    std::optional<QByteArray> cached;
    if (!turn.previousTurn.isEmpty())
        cached = this->cache.find(turn.previousTurn, turn.team, this->timers.now());
    const bool historyKnown = cached || turn.previousTurn.isEmpty();
    if (historyKnown && !turn.budget) {
        callback({TurnOutcome::Ready, cached.value_or(QByteArray()), milliseconds(0)});
        return;
    }
    const std::uint64_t number = this->nextNumber++;
    Opening &opening = this->openings
                               .emplace(number, Opening{turn,
                                                        TurnQuorum(turn, this->view, historyKnown),
                                                        std::move(callback),
                                                        {},
                                                        false,
                                                        {},
                                                        cached.value_or(QByteArray())})
                               .first->second;
    opening.timeout = this->timers.after(openingTimeout, [this, number] {
        this->finishOpening(number, TurnOutcome::Unavailable);
    });
    if (!historyKnown)
        opening.patience = this->timers.after(historyPatience, [this, number] {
            this->openings.at(number).impatient = true;
            this->advance(number);
        });
    this->sendOpening(number, opening);
    this->advance(number);
}

void RecordsClient::store(const TurnRequest &turn, const QByteArray &input,
                          const QByteArray &output, std::int64_t tokens, StoredCallback callback)
{
    const std::uint64_t number = this->nextNumber++;
    Writing writing;
    writing.record = this->recordOf(turn, RecordKind::Turn, tokens);
    writing.record.parent = turn.previousTurn;
    writing.record.input = input;
    writing.record.output = output;
    writing.callback = std::move(callback);
    Writing &kept = this->writings.emplace(number, std::move(writing)).first->second;
    kept.timeout = this->timers.after(writingTimeout,
                                      [this, number] { this->finishWriting(number, false); });
    this->sendWriting(number, kept);

    std::optional<QByteArray> history = QByteArray();
    if (!turn.previousTurn.isEmpty())
        history = this->cache.find(turn.previousTurn, turn.team, this->timers.now());
    if (history)
        this->cache.put(turn.request, turn.team, *history + input + output,
                        this->timers.now() + turn.retention);
}

void RecordsClient::settle(const TurnRequest &turn, std::int64_t tokens)
{
    this->sendRecord(this->recordOf(turn, RecordKind::Settlement, tokens), 0);
}

bool RecordsClient::hasQuorum() const
{
    int knowing = 0;
    int storing = 0;
    for (const RecordsMember &member : this->view.members) {
        if (!this->hub.isConnected(member.vm.incarnation))
            continue;
        knowing += member.state != MemberState::Joining ? 1 : 0;
        storing += this->view.countsAsCopy(member) ? 1 : 0;
    }
    return this->view.number > 0 && this->view.isReserved(knowing, storing);
}

void RecordsClient::sendOpening(std::uint64_t number, Opening &opening)
{
    OpenTurnMessage message = this->openMessage(opening);
    const bool needsHistory = !message.previousTurn.isEmpty();
    const RecordsMember *source = needsHistory ? this->preferredSource() : nullptr;
    const QByteArray plain = RecordsCodec::encodeOpen(message);
    for (const RecordsMember &member : this->view.members) {
        QByteArray payload = plain;
        if (&member == source) {
            message.wantsHistory = true;
            payload = RecordsCodec::encodeOpen(message);
            opening.quorum.noteHistoryAsked(member.vm.incarnation);
        }
        if (!this->hub.send(member.vm.incarnation,
                            {FrameKind::OpenTurn, this->view.number, number, payload}))
            opening.quorum.addFailure(member.vm.incarnation);
    }
}

OpenTurnMessage RecordsClient::openMessage(const Opening &opening) const
{
    OpenTurnMessage message;
    message.team = opening.turn.team;
    if (opening.turn.budget)
        message.reservation =
                this->recordOf(opening.turn, RecordKind::Reservation, opening.turn.maximumTokens);
    if (opening.cachedHistory.isEmpty())
        message.previousTurn = opening.turn.previousTurn;
    return message;
}

const RecordsMember *RecordsClient::preferredSource() const
{
    const RecordsMember *preferred = nullptr;
    for (const RecordsMember &member : this->view.members) {
        if (member.state == MemberState::Joining || !this->hub.isConnected(member.vm.incarnation))
            continue;
        const bool near = member.vm.incarnation.zone == this->hub.self().zone;
        if (preferred == nullptr || near)
            preferred = &member;
    }
    return preferred;
}

void RecordsClient::handleOpenReply(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto opening = this->openings.find(frame.correlation);
    const auto message = RecordsCodec::decodeOpenReply(frame.payload);
    if (opening == this->openings.end() || !message || frame.epoch != this->view.number)
        return;
    opening->second.quorum.addReply(peer, *message);
    this->advance(frame.correlation);
}

void RecordsClient::advance(std::uint64_t number)
{
    const auto found = this->openings.find(number);
    if (found == this->openings.end())
        return;
    Opening &opening = found->second;
    while (const VmIncarnation *holder = opening.quorum.untappedHolder(opening.impatient)) {
        const VmIncarnation source = *holder;
        opening.quorum.noteHistoryAsked(source);
        opening.impatient = false;
        OpenTurnMessage message = this->openMessage(opening);
        message.wantsHistory = true;
        if (!this->hub.send(source, {FrameKind::OpenTurn, this->view.number, number,
                                     RecordsCodec::encodeOpen(message)}))
            opening.quorum.addFailure(source);
    }
    if (const std::optional<TurnOutcome> outcome = opening.quorum.outcome())
        this->finishOpening(number, *outcome);
}

void RecordsClient::finishOpening(std::uint64_t number, TurnOutcome outcome)
{
    auto entry = this->openings.extract(number);
    if (entry.empty())
        return;
    Opening &opening = entry.mapped();
    opening.timeout.cancel();
    TurnAdmission start{outcome, opening.cachedHistory, milliseconds(0)};
    if (outcome == TurnOutcome::Unavailable)
        start.retryAfter = this->hasQuorum() ? relinkTime : rerouteTime;
    if (outcome == TurnOutcome::Ready && start.history.isEmpty()
        && !opening.turn.previousTurn.isEmpty()) {
        start.history = opening.quorum.history();
        this->cache.put(opening.turn.previousTurn, opening.turn.team, start.history,
                        this->timers.now() + opening.turn.retention);
        this->metrics.count("lacewingmux_histories_fetched_total", {}, 1);
    }
    if (outcome != TurnOutcome::Ready)
        LogEvent(LogSeverity::Info, "turnNotOpened")
                .field("request", QString::fromLatin1(opening.turn.request))
                .field("outcome", static_cast<int>(outcome))
                .field("previousTurn", QString::fromLatin1(opening.turn.previousTurn))
                .field("view", static_cast<quint64>(this->view.number));
    opening.callback(start);
}

void RecordsClient::sendWriting(std::uint64_t number, Writing &writing)
{
    writing.pending = this->sendRecord(writing.record, number);
}

std::set<VmIncarnation> RecordsClient::sendRecord(const Record &record, std::uint64_t number)
{
    const QByteArray payload = RecordsCodec::encodeRecords({record});
    std::set<VmIncarnation> reached;
    for (const RecordsMember &member : this->view.members) {
        if (member.state != MemberState::Leaving
            && this->hub.send(member.vm.incarnation,
                              {FrameKind::WriteRecords, this->view.number, number, payload}))
            reached.insert(member.vm.incarnation);
    }
    return reached;
}

void RecordsClient::handleAck(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto found = this->writings.find(frame.correlation);
    const RecordsMember *member = this->view.member(peer);
    if (found == this->writings.end() || member == nullptr || frame.epoch != this->view.number
        || found->second.pending.erase(peer) == 0 || !this->view.countsAsCopy(*member))
        return;
    if (++found->second.copies >= this->view.durableCopies())
        this->finishWriting(frame.correlation, true);
}

void RecordsClient::finishWriting(std::uint64_t number, bool durable)
{
    auto entry = this->writings.extract(number);
    if (entry.empty())
        return;
    entry.mapped().timeout.cancel();
    if (!durable)
        LogEvent(LogSeverity::Warning, "turnNotKept")
                .field("request", QString::fromLatin1(entry.mapped().record.key))
                .field("copies", entry.mapped().copies)
                .field("view", static_cast<quint64>(this->view.number));
    entry.mapped().callback(durable);
}

void RecordsClient::handleNotice(const VmIncarnation &, const PeerFrame &frame)
{
    const auto document = RecordsCodec::decodeNotice(frame.payload);
    if (!document)
        return;
    const std::optional<RecordsView> newer = RecordsView::fromDocument(*document);
    if (newer && newer->number > this->view.number)
        this->newerView(*document);
}

void RecordsClient::handleLink(const VmIncarnation &peer, bool up)
{
    if (up) {
        // What was sent while the link was down may have reached nobody.
        for (auto &[number, writing] : this->writings) {
            writing.pending.insert(peer);
            this->hub.send(peer, {FrameKind::WriteRecords, this->view.number, number,
                                  RecordsCodec::encodeRecords({writing.record})});
        }
        return;
    }
    std::vector<std::uint64_t> concerned;
    for (auto &[number, opening] : this->openings) {
        opening.quorum.addFailure(peer);
        concerned.push_back(number);
    }
    for (const std::uint64_t number : concerned)
        this->advance(number);
}

Record RecordsClient::recordOf(const TurnRequest &turn, RecordKind kind, std::int64_t tokens) const
{
    Record record;
    record.kind = kind;
    record.key = turn.request;
    record.program = turn.program;
    record.team = turn.team;
    record.tokens = tokens;
    record.expires = this->timers.wallNow() + std::max(shortestRetention, turn.retention);
    return record;
}

} // namespace lacewingmux
