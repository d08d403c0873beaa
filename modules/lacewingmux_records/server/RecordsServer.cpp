#include "lacewingmux_records/server/RecordsServer.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_records/log/DurableLog.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds housekeepingInterval{1000};
constexpr std::size_t namesAtOnce = 500; // a few milliseconds of a small VM's processor
constexpr qsizetype fetchedBytes = qsizetype{2} * 1024 * 1024; // a seventh of a frame's limit
// Longer than any outage that a burst matters in.
constexpr std::chrono::seconds floorRetention{120};
constexpr std::chrono::seconds clockAllowance{20}; // the VMs' clocks differ

constexpr milliseconds leaseRetry{100}; // less than the members' questions are apart

// A member that is silent for longer may be replaced: far beyond a restart.
constexpr milliseconds replacementTime{7500};
// One that stands by may take its place sooner, as nothing has to be copied then, and well before
// the loss of another disk has to be borne: 4 s on the deployment with the shortest time.
constexpr milliseconds takeOverTime{2500};
// A member that stands by knows the others' logs as they were within this time: three questions.
constexpr milliseconds upToDateTime{800};

} // namespace

RecordsServer::RecordsServer(PeerHub &peerHub, DurableLog &durableLog, TimerService &timerService,
                             MetricsRecorder &metricsRecorder, RecordsServerHooks serverHooks)
    : hub(peerHub)
    , log(durableLog)
    , timers(timerService)
    , metrics(metricsRecorder)
    , hooks(std::move(serverHooks))
    , sync(
              peerHub, this->index, timerService,
              [this](const Record &record, std::function<void()> durable) {
                  this->log.whenDurable(this->append(record), std::move(durable));
              },
              [this] { return this->lease.silentDisks(this->timers.now()); },
              [this](const VmIncarnation &peer, TimerService::SteadyTime askedAt) {
                  this->lease.noteAnswered(peer, askedAt);
              },
              [this] { this->checkSynced(); })
    , started(timerService.now())
    , lease(peerHub.self())
    , configuration(peerHub, this->hooks.newerConfiguration)
{
    this->log.replay([this](std::uint64_t sequence, const Record &record) {
        this->replay(sequence, record);
    });
    const auto handle = [this](FrameKind kind, auto method) {
        this->hub.setHandler(kind, [this, method](const auto &peer, const auto &frame) {
            (this->*method)(peer, frame);
        });
    };
    handle(FrameKind::OpenTurn, &RecordsServer::handleOpen);
    handle(FrameKind::WriteRecords, &RecordsServer::handleWrite);
    handle(FrameKind::PullKeys, &RecordsServer::handlePull);
    handle(FrameKind::FetchRecords, &RecordsServer::handleFetch);
    handle(FrameKind::GrantTokens, &RecordsServer::handleGrant);
    this->hub.setHandler(FrameKind::RecordsViewNotice, [this](const auto &, const auto &frame) {
        if (const auto document = RecordsCodec::decodeNotice(frame.payload))
            this->hooks.newerView(*document);
    });
    this->hub.setHandler(FrameKind::CrashNotice, [this](const auto &peer, const auto &frame) {
        for (const VmIncarnation &entryVm : this->entryVms) {
            if (entryVm != peer)
                this->hub.send(entryVm, frame);
        }
    });
    this->hub.addLinkHandler([this](const VmIncarnation &peer, bool up) {
        if (!up)
            this->entryVms.erase(peer);
    });
    this->housekeeping = this->timers.every(housekeepingInterval, [this] { this->housekeep(); });
}

void RecordsServer::setView(const RecordsView &newView)
{
    if (newView.number <= this->view.number)
        return;
    const RecordsMember *before = this->view.member(this->hub.self());
    const RecordsMember *after = newView.member(this->hub.self());
    const bool wasLeaving = before != nullptr && before->state == MemberState::Leaving;
    if (after != nullptr && after->state == MemberState::Leaving && !wasLeaving)
        this->lastCounted = this->index.lastSequence();
    this->view = newView;
    this->copiedTold = false;
    this->syncedTold = false;
    std::erase_if(this->copiedTo,
                  [this](const auto &entry) { return this->view.member(entry.first) == nullptr; });
    this->sync.setView(newView);
    this->lease.setView(newView, this->timers.now());
    newView.logAdoption();
    this->checkSynced();
}

void RecordsServer::setConfiguration(const ConfigurationDocumentMessage &newest)
{
    this->configuration.setConfiguration(newest);
}

void RecordsServer::handleOpen(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeOpen(frame.payload);
    if (!message || this->refuseOldView(peer, frame))
        return;
    const RecordsMember *self = this->view.member(this->hub.self());
    OpenTurnReplyMessage reply;
    reply.synced = self != nullptr && self->state != MemberState::Joining;
    std::uint64_t sequence = 0;
    if (message->reservation) {
        sequence = this->append(*message->reservation);
        reply.reservations =
                this->index.reservations(message->reservation->program, message->reservation->key);
    }
    this->lookUpChain(*message, reply);
    const auto answer = [this, peer, epoch = frame.epoch, correlation = frame.correlation, reply] {
        this->hub.send(peer, {FrameKind::OpenTurnReply, this->replyEpoch(epoch), correlation,
                              RecordsCodec::encodeOpenReply(reply)});
    };
    if (sequence == 0)
        answer();
    else
        this->log.whenDurable(sequence, answer);
}

void RecordsServer::lookUpChain(const OpenTurnMessage &message, OpenTurnReplyMessage &reply)
{
    if (message.previousTurn.isEmpty())
        return;
    const ChainLookup lookup =
            this->index.chain(message.previousTurn, message.team, this->timers.wallNow());
    reply.chain = lookup.status;
    if (lookup.status != ChainStatus::Found || !message.wantsHistory)
        return;
    for (const std::uint64_t sequence : lookup.sequences) {
        const std::optional<Record> record = this->log.read(sequence);
        if (!record) {
            reply.chain = ChainStatus::Incomplete;
            reply.history.clear();
            return;
        }
        reply.history += record->input;
        reply.history += record->output;
    }
}

void RecordsServer::handleWrite(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto records = RecordsCodec::decodeRecords(frame.payload);
    if (!records || this->refuseOldView(peer, frame))
        return;
    std::uint64_t last = 0;
    for (const Record &record : *records)
        last = std::max(last, this->append(record));
    if (frame.correlation == 0 || last == 0)
        return;
    this->log.whenDurable(last, [this, peer, epoch = frame.epoch, correlation = frame.correlation] {
        this->hub.send(peer,
                       {FrameKind::WriteRecordsAck, this->replyEpoch(epoch), correlation, {}});
    });
}

void RecordsServer::handlePull(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodePull(frame.payload);
    if (!message || this->refuseOldView(peer, frame))
        return;
    this->heard[peer] = this->timers.now();
    this->lease.noteHeard(peer, message->silentDisks, this->timers.now());
    const auto found = this->index.namesAfter(message->after, namesAtOnce);
    PullKeysReplyMessage reply;
    for (const auto &[sequence, name] : found)
        reply.names.push_back(name);
    reply.next = found.empty() ? message->after : found.back().first;
    reply.atEnd = found.size() < namesAtOnce;
    this->hub.send(peer, {FrameKind::PullKeysReply, this->view.number, frame.correlation,
                          RecordsCodec::encodePullReply(reply)});
    if (message->complete)
        this->copiedTo[peer] = message->after;
    this->checkSynced();
}

void RecordsServer::handleFetch(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto names = RecordsCodec::decodeFetch(frame.payload);
    if (!names)
        return;
    std::vector<Record> records;
    qsizetype bytes = 0;
    for (const RecordName &name : *names) {
        std::optional<Record> record = this->log.read(this->index.sequenceOf(name));
        if (!record)
            continue;
        bytes += record->input.size() + record->output.size();
        records.push_back(std::move(*record));
        if (bytes >= fetchedBytes)
            break;
    }
    this->hub.send(peer, {FrameKind::FetchRecordsReply, this->view.number, 0,
                          RecordsCodec::encodeRecords(records)});
}

void RecordsServer::handleGrant(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeGrant(frame.payload);
    if (!message)
        return;
    this->entryVms.insert(peer);
    this->configuration.askIfNewer(peer, message->configurationVersion);
    const TimerService::SteadyTime now = this->timers.now();
    const double share = this->lease.share(now);
    GrantTokensReplyMessage reply;
    for (const TeamDemandMessage &demand : message->demands) {
        if (share <= 0) {
            // Without a lease the bucket stays as it is; the lease may come with the next answer.
            reply.grants.push_back({demand.team, 0, leaseRetry});
            continue;
        }
        GrantBucket &bucket = this->bucketOf(demand.team);
        bucket.setShare(demand.requestsPerSecond * share, demand.burst * share, now);
        const int granted = bucket.take(demand.wanted, demand.reserve, now);
        reply.grants.push_back({demand.team, granted, bucket.untilNext(demand.reserve, now)});
        if (const std::optional<double> lower = bucket.lowerFloor(now))
            this->writeFloor(demand.team, *lower, [this, team = demand.team, tokens = *lower] {
                this->bucketOf(team).setFloor(tokens);
            });
    }
    reply.configurationVersion = this->configuration.version();
    reply.entryVms = static_cast<int>(this->entryVms.size());
    this->hub.send(peer, {FrameKind::GrantTokensReply, this->view.number, frame.correlation,
                          RecordsCodec::encodeGrantReply(reply)});
}

void RecordsServer::replay(std::uint64_t sequence, const Record &record)
{
    // Floors are this VM's own: the last one counts, and no other member asks for them.
    if (record.kind == RecordKind::QuotaFloor)
        this->unspent[record.team] = static_cast<double>(record.tokens);
    else
        this->index.add(record, sequence);
}

GrantBucket &RecordsServer::bucketOf(const QByteArray &team)
{
    auto bucket = this->buckets.find(team);
    if (bucket == this->buckets.end())
        bucket = this->buckets.insert(team,
                                      GrantBucket(this->unspent.value(team, 0), this->started));
    return *bucket;
}

void RecordsServer::writeFloor(const QByteArray &team, double tokens, std::function<void()> durable)
{
    Record record;
    record.kind = RecordKind::QuotaFloor;
    record.key = team;
    record.team = team;
    record.tokens = static_cast<std::int64_t>(tokens);
    record.expires = this->timers.wallNow() + floorRetention;
    const std::uint64_t sequence = this->log.append(record);
    if (durable)
        this->log.whenDurable(sequence, std::move(durable));
}

bool RecordsServer::refuseOldView(const VmIncarnation &peer, const PeerFrame &frame)
{
    // Whoever has a newer view answers a question under an older one with it.
    if (frame.epoch > this->view.number)
        this->hub.send(peer,
                       {FrameKind::PullKeys, this->view.number, 0, RecordsCodec::encodePull({})});
    if (frame.epoch >= this->view.number && this->view.number > 0)
        return false;
    this->hub.send(peer, {FrameKind::RecordsViewNotice, this->view.number, frame.correlation,
                          RecordsCodec::encodeNotice(this->view.toDocument())});
    return true;
}

std::uint64_t RecordsServer::replyEpoch(std::uint64_t askedUnder) const
{
    // The asker may know of a view before this VM does; its question counts under that view. When
    // this VM has learnt of a newer one meanwhile, the answer must not count under the old one.
    return std::max(askedUnder, this->view.number);
}

std::uint64_t RecordsServer::append(const Record &record)
{
    const std::uint64_t known = this->index.sequenceOf(nameOf(record));
    if (known != 0)
        return known;
    const std::uint64_t sequence = this->log.append(record);
    this->index.add(record, sequence);
    return sequence;
}

void RecordsServer::housekeep()
{
    const auto now = this->timers.wallNow();
    this->index.dropExpired(now - clockAllowance);
    this->log.dropExpired(now);
    for (auto bucket = this->buckets.begin(); bucket != this->buckets.end(); ++bucket) {
        if (const std::optional<double> higher = bucket->raiseFloor(this->timers.now()))
            this->writeFloor(bucket.key(), *higher, nullptr);
    }
    this->reportSilentMembers();
    this->metrics.set("lacewingmux_records_kept", {}, static_cast<double>(this->index.size()));
}

void RecordsServer::reportSilentMembers()
{
    const TimerService::SteadyTime now = this->timers.now();
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->hub.self())
            continue;
        const auto last = this->heard.try_emplace(peer, now).first->second;
        if (now - last > replacementTime)
            this->hooks.memberSilent(peer);
        if (now - last > takeOverTime && member.state == MemberState::Synced
            && this->isUpToDateSpare(now))
            this->hooks.standbyCanReplace(peer);
    }
}

bool RecordsServer::isUpToDateSpare(TimerService::SteadyTime now) const
{
    const RecordsMember *self = this->view.member(this->hub.self());
    return self != nullptr && this->view.isSpare(*self)
           && this->sync.completedSources(now - upToDateTime) >= self->syncSources;
}

void RecordsServer::checkSynced()
{
    const RecordsMember *self = this->view.member(this->hub.self());
    if (self == nullptr)
        return;
    if (self->state == MemberState::Joining && !this->view.isSpare(*self) && !this->syncedTold
        && this->sync.completedSources() >= self->syncSources) {
        this->syncedTold = true;
        this->hooks.synced();
    }
    if (self->state != MemberState::Leaving || this->copiedTold)
        return;
    const bool copied = std::all_of(
            this->view.members.begin(), this->view.members.end(), [this](const auto &member) {
                const auto place = this->copiedTo.find(member.vm.incarnation);
                return member.state != MemberState::Synced
                       || (place != this->copiedTo.end() && place->second >= this->lastCounted);
            });
    if (copied && this->view.syncedCount() > 0) {
        this->copiedTold = true;
        this->hooks.copied();
    }
}

} // namespace lacewingmux
