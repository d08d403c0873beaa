#include "lacewingmux_records/server/RecordsSync.h"

#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds tickInterval{250}; // in which records also arrive directly
constexpr std::size_t fetchedAtOnce = 200;             // records; about a megabyte

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
        if (peer != this->hub.self())
            kept.emplace(peer, std::move(this->sources[peer]));
    }
    this->sources = std::move(kept);
}

int RecordsSync::completedSources() const
{
    return static_cast<int>(
            std::count_if(this->sources.begin(), this->sources.end(), [this](const auto &entry) {
                const RecordsMember *member = this->view.member(entry.first);
                return member != nullptr && member->state != MemberState::Joining
                       && entry.second.atEnd && entry.second.missing.empty();
            }));
}

void RecordsSync::tick()
{
    for (auto &[peer, source] : this->sources) {
        if (!this->hub.isConnected(peer))
            continue;
        this->fetchMissing(peer, source);
        this->ask(peer, source);
    }
}

void RecordsSync::ask(const VmIncarnation &peer, Source &source)
{
    // What is on this disk of the peer's log is told with it: a leaving peer waits for that.
    const PullKeysMessage message{source.cursor, source.missing.empty(), this->silent()};
    ++source.question;
    source.askedAt = this->timers.now();
    this->hub.send(peer, {FrameKind::PullKeys, this->view.number, source.question,
                          RecordsCodec::encodePull(message)});
}

void RecordsSync::fetchMissing(const VmIncarnation &peer, Source &source)
{
    std::vector<RecordName> due;
    for (const RecordName &name : source.askedNext) {
        if (source.missing.contains(name) && due.size() < fetchedAtOnce)
            due.push_back(name);
    }
    source.askedNext = source.missing;
    if (!due.empty())
        this->hub.send(peer, {FrameKind::FetchRecords, this->view.number, 0,
                              RecordsCodec::encodeFetch(due)});
}

void RecordsSync::handleNames(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto source = this->sources.find(peer);
    const auto message = RecordsCodec::decodePullReply(frame.payload);
    if (source == this->sources.end() || !message)
        return;
    if (frame.correlation == source->second.question)
        this->answered(peer, source->second.askedAt);
    for (const RecordName &name : message->names) {
        if (!this->index.contains(name))
            source->second.missing.insert(name);
    }
    source->second.cursor = message->next;
    source->second.atEnd = message->atEnd;
    if (!message->atEnd) {
        this->ask(peer, source->second);
        return;
    }
    // A member that joins has nothing yet to arrive directly, so it does not wait.
    const RecordsMember *self = this->view.member(this->hub.self());
    if (self != nullptr && self->state == MemberState::Joining && !source->second.missing.empty()) {
        source->second.askedNext = source->second.missing;
        this->fetchMissing(peer, source->second);
    }
    this->progress();
}

void RecordsSync::handleRecords(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto records = RecordsCodec::decodeRecords(frame.payload);
    if (!records)
        return;
    for (const Record &record : *records)
        this->store(record, [this, name = nameOf(record)] { this->noteStored(name); });
    const auto source = this->sources.find(peer);
    if (source == this->sources.end() || records->empty())
        return;
    std::set<RecordName> fetched;
    for (const Record &record : *records)
        fetched.insert(nameOf(record));
    std::erase_if(source->second.askedNext,
                  [&fetched](const RecordName &name) { return fetched.contains(name); });
    this->fetchMissing(peer, source->second);
}

void RecordsSync::noteStored(const RecordName &name)
{
    for (auto &[peer, source] : this->sources)
        source.missing.erase(name);
    this->progress();
}

} // namespace lacewingmux
