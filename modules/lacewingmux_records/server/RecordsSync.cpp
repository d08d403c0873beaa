#include "lacewingmux_records/server/RecordsSync.h"

#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds tickInterval{250}; // in which records also arrive directly
constexpr std::size_t fetchedAtOnce = 400;             // records; about two megabytes
constexpr std::chrono::milliseconds answerTime{800};   // then the records are asked for again
// Then the question is repeated: a peer that had no view yet has not answered it. Half of a lease.
constexpr std::chrono::milliseconds questionTime{500};
constexpr std::size_t mostUnanswered = 8; // questions; older ones are past any lease

} // namespace

RecordsSync::RecordsSync(PeerHub &peerHub, const RecordIndex &recordIndex,
                         TimerService &timerService, StoreFunction storeFunction,
                         SilentFunction silentFunction, AnswerFunction answerFunction,
                         std::function<void()> progressHook)
    : hub(peerHub)
    , index(recordIndex)
    , timers(timerService)
    , store(std::move(storeFunction))
    , silent(std::move(silentFunction))
    , answered(std::move(answerFunction))
    , progress(std::move(progressHook))
{
    this->hub.setHandler(FrameKind::PullKeysReply, [this](const auto &peer, const auto &frame) {
        this->handleNames(peer, frame);
    });
    this->hub.setHandler(FrameKind::FetchRecordsReply, [this](const auto &peer, const auto &frame) {
        this->handleRecords(peer, frame);
    });
    this->hub.addLinkHandler([this](const VmIncarnation &peer, bool up) {
        const auto source = this->sources.find(peer);
        if (source == this->sources.end())
            return;
        source->second = Source();
        if (up)
            this->ask(peer, source->second);
    });
    this->timer = this->timers.every(tickInterval, [this] { this->tick(); });
}

void RecordsSync::setView(const RecordsView &newView)
{
    this->view = newView;
    std::map<VmIncarnation, Source> kept;
    for (const RecordsMember &member : newView.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->hub.self())
            continue;
        Source &source = kept.emplace(peer, std::move(this->sources[peer])).first->second;
        source.unanswered.clear(); // questions under the earlier view may stay without an answer
    }
    this->sources = std::move(kept);
}

int RecordsSync::completedSources(TimerService::SteadyTime askedAfter) const
{
    return static_cast<int>(std::count_if(
            this->sources.begin(), this->sources.end(), [this, askedAfter](const auto &entry) {
                const RecordsMember *member = this->view.member(entry.first);
                return member != nullptr && member->state != MemberState::Joining
                       && entry.second.atEnd && entry.second.missing.empty()
                       && entry.second.answeredAt >= askedAfter;
            }));
}

void RecordsSync::tick()
{
    for (auto &[peer, source] : this->sources) {
        if (!this->hub.isConnected(peer))
            continue;
        this->fetchMissing(peer, source);
        source.fresh.clear();
        if (!this->isAwaited(source))
            this->ask(peer, source);
    }
}

bool RecordsSync::isAwaited(const Source &source) const
{
    return !source.unanswered.empty()
           && this->timers.now() - source.unanswered.back().askedAt < questionTime;
}

void RecordsSync::ask(const VmIncarnation &peer, Source &source)
{
    // What is on this disk of the peer's log is told with it: a leaving peer waits for that.
    const PullKeysMessage message{source.cursor, source.missing.empty(), this->silent()};
    const std::uint64_t number = ++this->lastQuestion;
    source.unanswered.push_back({number, source.cursor, this->timers.now()});
    if (source.unanswered.size() > mostUnanswered)
        source.unanswered.pop_front();
    this->hub.send(peer, {FrameKind::PullKeys, this->view.number, number,
                          RecordsCodec::encodePull(message)});
}

std::optional<RecordsSync::Question> RecordsSync::takeQuestion(Source &source, std::uint64_t number)
{
    // Answers come in the order of the questions: those before this one won't be answered.
    while (!source.unanswered.empty() && source.unanswered.front().number < number)
        source.unanswered.pop_front();
    if (source.unanswered.empty() || source.unanswered.front().number != number)
        return std::nullopt;
    const Question question = source.unanswered.front();
    source.unanswered.pop_front();
    return question;
}

void RecordsSync::fetchMissing(const VmIncarnation &peer, Source &source)
{
    const TimerService::SteadyTime now = this->timers.now();
    if (!source.requested.empty() && now - source.requestedAt < answerTime)
        return;
    source.requested.clear();
    std::vector<RecordName> due;
    for (const RecordName &name : source.missing) {
        if (due.size() >= fetchedAtOnce)
            break;
        if (!source.fresh.contains(name) && !this->isRequested(name))
            due.push_back(name);
    }
    if (due.empty())
        return;
    source.requested = {due.begin(), due.end()};
    source.requestedAt = now;
    this->hub.send(peer,
                   {FrameKind::FetchRecords, this->view.number, 0, RecordsCodec::encodeFetch(due)});
}

bool RecordsSync::isRequested(const RecordName &name) const
{
    return std::any_of(this->sources.begin(), this->sources.end(), [&name](const auto &entry) {
        return entry.second.requested.contains(name);
    });
}

bool RecordsSync::isJoining() const
{
    const RecordsMember *self = this->view.member(this->hub.self());
    return self != nullptr && self->state == MemberState::Joining;
}

void RecordsSync::handleNames(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto source = this->sources.find(peer);
    const auto message = RecordsCodec::decodePullReply(frame.payload);
    if (source == this->sources.end() || !message)
        return;
    const auto question = takeQuestion(source->second, frame.correlation);
    if (!question)
        return;
    source->second.answeredAt = question->askedAt;
    this->answered(peer, question->askedAt);
    if (question->after != source->second.cursor)
        return; // an earlier answer has brought these names
    for (const RecordName &name : message->names) {
        if (this->index.contains(name))
            continue;
        source->second.missing.insert(name);
        // It may still arrive directly, but not at a member that joins.
        if (!this->isJoining())
            source->second.fresh.insert(name);
    }
    source->second.cursor = message->next;
    source->second.atEnd = message->atEnd;
    if (!message->atEnd)
        this->ask(peer, source->second);
    if (this->isJoining())
        this->fetchMissing(peer, source->second);
    this->progress();
}

void RecordsSync::handleRecords(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto records = RecordsCodec::decodeRecords(frame.payload);
    const auto source = this->sources.find(peer);
    if (!records || source == this->sources.end())
        return;
    for (const Record &record : *records)
        this->store(record, [this, name = nameOf(record)] { this->noteStored(name); });
    // What the peer left out for its size is asked for again; what it doesn't have, of others.
    source->second.requested.clear();
    if (records->empty())
        return;
    std::set<RecordName> onTheWay;
    for (const Record &record : *records)
        onTheWay.insert(nameOf(record));
    source->second.requested = std::move(onTheWay);
    source->second.requestedAt = this->timers.now();
}

void RecordsSync::noteStored(const RecordName &name)
{
    for (auto &[peer, source] : this->sources) {
        source.missing.erase(name);
        source.fresh.erase(name);
        const bool wasLast = source.requested.erase(name) > 0 && source.requested.empty();
        if (wasLast && this->hub.isConnected(peer))
            this->fetchMissing(peer, source);
    }
    this->progress();
}

} // namespace lacewingmux
