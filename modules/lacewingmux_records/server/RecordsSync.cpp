#include "lacewingmux_records/server/RecordsSync.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds checkInterval{
        250}; // leaves time for records to arrive directly
// While a peer reads the records of one request, the reply to another one is on its way.
constexpr std::size_t maximumFetches = 2;
constexpr std::size_t minimumFetchedRecords = 8; // large ones
// Bytes received from one peer and not on disk yet at which no more are requested.
constexpr qsizetype maximumStoringBytes = qsizetype{4} * 1024 * 1024;
constexpr std::chrono::milliseconds fetchTimeout{800}; // after it, records are requested again
// After it a request is repeated, as a peer without a view does not answer. Half the lease time.
constexpr std::chrono::milliseconds requestTimeout{500};
constexpr std::size_t maximumUnanswered = 8; // older requests can no longer extend a lease
// Listing takes the peer a few milliseconds of CPU time for each page.
constexpr std::chrono::milliseconds listAgainInterval{2000};

} // namespace

RecordsSync::RecordsSync(PeerHub &peerHub, const RecordIndex &recordIndex,
                         TimerService &timerService, StoreFunction storeFunction,
                         SilentDisksFunction silentDisksFunction, AnswerFunction answerFunction,
                         std::function<void()> progressHook)
    : hub(peerHub)
    , index(recordIndex)
    , timers(timerService)
    , store(std::move(storeFunction))
    , silentDisks(std::move(silentDisksFunction))
    , answerHook(std::move(answerFunction))
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
            this->requestNames(peer, source->second);
    });
    this->timer = this->timers.every(checkInterval, [this] { this->checkSources(); });
}

void RecordsSync::setView(const RecordsView &newView)
{
    this->view = newView;
    std::map<VmIncarnation, Source> retained;
    for (const RecordsMember &member : newView.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->hub.self())
            continue;
        Source &source = retained.emplace(peer, std::move(this->sources[peer])).first->second;
        source.unanswered.clear(); // requests under the earlier view may remain unanswered
        source.hasAdoptedView = false;
        source.isCopiedUnderView = false;
    }
    this->sources = std::move(retained);
}

int RecordsSync::completedSources(TimerService::SteadyTime sentAfter) const
{
    return static_cast<int>(std::count_if(
            this->sources.begin(), this->sources.end(), [this, sentAfter](const auto &entry) {
                const RecordsMember *member = this->view.member(entry.first);
                return member != nullptr && member->hasAllRecords() && entry.second.atEnd
                       && entry.second.missing.empty() && entry.second.answeredAt >= sentAfter;
            }));
}

int RecordsSync::sourcesCopiedSince(TimerService::SteadyTime sentAfter) const
{
    return static_cast<int>(std::count_if(
            this->sources.begin(), this->sources.end(), [this, sentAfter](const auto &entry) {
                const RecordsMember *member = this->view.member(entry.first);
                return member != nullptr && member->hasAllRecords()
                       && this->isCopiedSince(entry.first, sentAfter);
            }));
}

bool RecordsSync::isCopiedSince(const VmIncarnation &member,
                                TimerService::SteadyTime sentAfter) const
{
    const auto source = this->sources.find(member);
    return source != this->sources.end() && source->second.completeAt
           && *source->second.completeAt >= sentAfter;
}

bool RecordsSync::hasCopiedEarlierViews(const std::set<VmIncarnation> &exceptions) const
{
    return std::all_of(this->sources.begin(), this->sources.end(), [&](const auto &entry) {
        const RecordsMember *member = this->view.member(entry.first);
        return member == nullptr || this->view.isStandby(*member)
               || exceptions.contains(entry.first) || entry.second.isCopiedUnderView;
    });
}

bool RecordsSync::isAwaited(const RecordName &name) const
{
    return std::any_of(this->sources.begin(), this->sources.end(),
                       [&name](const auto &entry) { return entry.second.missing.contains(name); });
}

std::size_t RecordsSync::missingCount() const
{
    std::set<RecordName> names;
    for (const auto &[peer, source] : this->sources)
        names.insert(source.missing.begin(), source.missing.end());
    return names.size();
}

void RecordsSync::checkSources()
{
    for (auto &[peer, source] : this->sources) {
        if (!this->hub.isConnected(peer))
            continue;
        this->fetchMissing(peer, source);
        source.justNamed.clear();
        if (!this->isAnswerPending(source))
            this->requestNames(peer, source);
    }
}

bool RecordsSync::isAnswerPending(const Source &source) const
{
    return !source.unanswered.empty()
           && this->timers.now() - source.unanswered.back().sentAt < requestTimeout;
}

void RecordsSync::requestNames(const VmIncarnation &peer, Source &source)
{
    // Also reports how much of the peer's log is on this disk, which a leaving peer waits for.
    const PullKeysMessage message{source.cursor, source.missing.empty(), this->silentDisks()};
    const std::uint64_t number = ++this->lastRequestNumber;
    source.unanswered.push_back({number, source.cursor, this->timers.now()});
    if (source.unanswered.size() > maximumUnanswered)
        source.unanswered.pop_front();
    this->hub.send(peer, {FrameKind::PullKeys, this->view.number, number,
                          RecordsCodec::encodePull(message)});
}

std::optional<RecordsSync::NamesRequest> RecordsSync::takeUnanswered(Source &source,
                                                                     std::uint64_t number)
{
    // Answers arrive in request order, so earlier requests will not be answered any more.
    while (!source.unanswered.empty() && source.unanswered.front().number < number)
        source.unanswered.pop_front();
    if (source.unanswered.empty() || source.unanswered.front().number != number)
        return std::nullopt;
    const NamesRequest request = source.unanswered.front();
    source.unanswered.pop_front();
    return request;
}

void RecordsSync::fetchMissing(const VmIncarnation &peer, Source &source)
{
    const TimerService::SteadyTime now = this->timers.now();
    const std::size_t pending = pendingFetches(source, now);
    if (pending >= maximumFetches || source.storingBytes >= maximumStoringBytes)
        return;
    if (pending == 0)
        source.requested.clear();
    std::vector<RecordName> due;
    for (const RecordName &name : source.missing) {
        if (due.size() >= source.recordsPerFetch)
            break;
        if (!source.justNamed.contains(name) && !this->isOnItsWay(name))
            due.push_back(name);
    }
    if (due.empty())
        return;
    source.requested.insert(due.begin(), due.end());
    const std::uint64_t number = ++this->lastRequestNumber;
    this->hub.send(peer, {FrameKind::FetchRecords, this->view.number, number,
                          RecordsCodec::encodeFetch(due)});
    source.fetches.push_back({number, std::move(due), now});
    if (source.fetches.size() > maximumUnanswered)
        source.fetches.pop_front();
}

bool RecordsSync::isOnItsWay(const RecordName &name) const
{
    return std::any_of(this->sources.begin(), this->sources.end(), [&name](const auto &entry) {
        return entry.second.requested.contains(name) || entry.second.beingStored.contains(name);
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
    const auto request = takeUnanswered(source->second, frame.correlation);
    if (!request)
        return;
    source->second.answeredAt = request->sentAt;
    this->answerHook(peer, request->sentAt, message->foundSilent);
    if (request->after != source->second.cursor)
        return; // an earlier answer contained these names
    for (const RecordName &name : message->names) {
        if (this->index.contains(name))
            continue;
        source->second.missing.insert(name);
        // The record may still arrive directly, except at a joining member.
        if (!this->isJoining())
            source->second.justNamed.insert(name);
    }
    source->second.cursor = message->next;
    source->second.atEnd = message->atEnd;
    source->second.hasAdoptedView = frame.epoch >= this->view.number;
    noteCompletion(source->second);
    if (!message->atEnd)
        this->requestNames(peer, source->second);
    if (this->isJoining())
        this->fetchMissing(peer, source->second);
    this->progress();
}

void RecordsSync::handleRecords(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto records = RecordsCodec::decodeRecords(frame.payload);
    const auto found = this->sources.find(peer);
    if (!records || found == this->sources.end())
        return;
    Source &source = found->second;
    for (const Record &record : *records) {
        const RecordName name = nameOf(record);
        const qsizetype bytes = record.input.size() + record.output.size();
        if (source.missing.contains(name) && source.beingStored.emplace(name, bytes).second)
            source.storingBytes += bytes;
        this->store(record, [this, name] { this->recordStored(name); });
    }
    if (const auto request = takeAnswered(source, frame.correlation)) {
        adaptFetchSize(source, request->names.size(), records->size());
        if (frame.correlation != 0)
            forgetUnavailable(peer, source, unavailableOf(*request, *records));
    }
    // A peer of an earlier version does not tell which request it answers.
    if (records->empty() && frame.correlation == 0)
        this->listAgain(peer, source);
    else
        this->fetchMissing(peer, source);
    this->progress();
}

std::size_t RecordsSync::pendingFetches(const Source &source, TimerService::SteadyTime now)
{
    return static_cast<std::size_t>(
            std::count_if(source.fetches.begin(), source.fetches.end(),
                          [now](const auto &fetch) { return now - fetch.sentAt < fetchTimeout; }));
}

std::optional<RecordsSync::FetchRequest> RecordsSync::takeAnswered(Source &source,
                                                                   std::uint64_t number)
{
    const auto answered =
            number == 0
                    ? source.fetches.begin()
                    : std::find_if(source.fetches.begin(), source.fetches.end(),
                                   [number](const auto &fetch) { return fetch.number == number; });
    if (answered == source.fetches.end())
        return std::nullopt;
    // Answers arrive in request order, so earlier requests will not be answered any more.
    const auto end = std::next(answered);
    for (auto fetch = source.fetches.begin(); fetch != end; ++fetch) {
        for (const RecordName &name : fetch->names)
            source.requested.erase(name);
    }
    std::optional<FetchRequest> request = std::move(*answered);
    source.fetches.erase(source.fetches.begin(), end);
    return request;
}

void RecordsSync::adaptFetchSize(Source &source, std::size_t requested, std::size_t received)
{
    // A little more than fits, as records differ in size.
    const std::size_t fitting = received < requested ? received + received / 4 : 2 * received;
    source.recordsPerFetch = std::clamp(fitting, minimumFetchedRecords, maximumFetchedRecords);
}

void RecordsSync::noteCompletion(Source &source)
{
    if (!source.atEnd || !source.missing.empty())
        return;
    source.completeAt = source.answeredAt;
    source.isCopiedUnderView = source.isCopiedUnderView || source.hasAdoptedView;
}

std::vector<RecordName> RecordsSync::unavailableOf(const FetchRequest &request,
                                                   const std::vector<Record> &records)
{
    std::vector<RecordName> skipped = request.names;
    if (records.empty())
        return skipped;
    // A peer may stop early for the size of its reply.
    const auto last = std::find(skipped.begin(), skipped.end(), nameOf(records.back()));
    if (last == skipped.end())
        return {};
    skipped.erase(last, skipped.end());
    std::set<RecordName> delivered;
    for (const Record &record : records)
        delivered.insert(nameOf(record));
    std::erase_if(skipped, [&delivered](const auto &name) { return delivered.contains(name); });
    return skipped;
}

void RecordsSync::forgetUnavailable(const VmIncarnation &peer, Source &source,
                                    const std::vector<RecordName> &names)
{
    if (names.empty())
        return;
    for (const RecordName &name : names) {
        source.missing.erase(name);
        source.justNamed.erase(name);
    }
    LogEvent(LogSeverity::Info, "recordsNotCopied")
            .field("peer", peer.vm)
            .field("records", static_cast<qint64>(names.size()))
            .field("reason", "the peer dropped them meanwhile or can't read them");
}

void RecordsSync::listAgain(const VmIncarnation &peer, Source &source)
{
    const TimerService::SteadyTime now = this->timers.now();
    if (now - source.listedFrom < listAgainInterval)
        return;
    Source fresh;
    fresh.listedFrom = now;
    fresh.answeredAt = source.answeredAt;
    source = std::move(fresh);
    this->requestNames(peer, source);
}

void RecordsSync::recordStored(const RecordName &name)
{
    for (auto &[peer, source] : this->sources) {
        source.missing.erase(name);
        source.justNamed.erase(name);
        noteCompletion(source);
        const auto stored = source.beingStored.find(name);
        if (stored == source.beingStored.end())
            continue;
        source.storingBytes -= stored->second;
        source.beingStored.erase(stored);
        if (source.requested.empty() && this->hub.isConnected(peer))
            this->fetchMissing(peer, source);
    }
    this->progress();
}

} // namespace lacewingmux
