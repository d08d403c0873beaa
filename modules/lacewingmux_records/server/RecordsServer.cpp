#include "lacewingmux_records/server/RecordsServer.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"
#include "lacewingmux_records/log/DurableLog.h"
#include "lacewingmux_records/members/RecordsGroups.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds maintenanceInterval{1000};
constexpr milliseconds silenceCheckInterval{250}; // as long as between requests of a member
// Record names in a PullKeys reply; building one takes a few milliseconds of CPU time on a small
// VM.
constexpr std::size_t namesPerPage = 500;
// Far below the frame size limit, as the last record of a reply may exceed this. Buffers of two
// megabytes took more CPU time, as their memory was returned and cleared for each reply.
constexpr qsizetype maximumFetchBytes = qsizetype{512} * 1024;
// Of a VM that can't fetch a history in parts; the rest of the frame is far larger than needed.
constexpr qsizetype maximumWholeHistoryBytes = defaultFrameLimitBytes - qsizetype{1024} * 1024;
// Marks a notice that a records VM has forwarded. A records VM that is not in the view yet gets it
// too, as it looks like an entry VM until then, and must not forward it again.
constexpr std::uint64_t forwardedNotice = 1;
// Time from a request to the record on disk that a usual disk stays far below.
constexpr milliseconds slowWrite{200};
constexpr milliseconds slowWriteLogInterval{1000};
// Longer than any outage after which a team's unspent burst still has to be restored.
constexpr std::chrono::seconds floorRetention{120};
// A record's time of expiry comes from an entry VM, whose clock may be behind by this much.
constexpr std::chrono::seconds clockSkewAllowance{20};

/** Returns whether turns that continue the one or the other go on from the same text. */
bool haveSameHistory(const Record &record, const Record &other)
{
    return record.team == other.team && record.parent == other.parent && record.input == other.input
           && record.output == other.output;
}

} // namespace

RecordsServer::RecordsServer(PeerHub &peerHub, DurableLog &durableLog, TimerService &timerService,
                             MetricsRecorder &metricsRecorder, RecordsServerHooks serverHooks)
    : hub(peerHub)
    , log(durableLog)
    , timers(timerService)
    , metrics(metricsRecorder)
    , hooks(std::move(serverHooks))
    , histories(this->index, durableLog)
    , sync(
              peerHub, this->index, timerService,
              [this](const Record &record, std::function<void()> durable) {
                  this->log.whenDurable(this->append(record), std::move(durable));
              },
              [this] { return this->quotas.lease().reportSilentDisks(this->timers.now()); },
              [this](const VmIncarnation &peer, TimerService::SteadyTime sentAt, bool foundSilent) {
                  this->quotas.lease().recordAnswer(peer, sentAt, foundSilent, this->timers.now());
              },
              [this] { this->checkSynced(); })
    , quotas(peerHub.self(),
             [this](const QByteArray &team, double tokens, std::function<void()> durable) {
                 this->writeFloor(team, tokens, std::move(durable));
             })
    , configuration(peerHub, this->hooks.newerConfiguration)
    , silence(peerHub.self())
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
    handle(FrameKind::HistoryPartRequest, &RecordsServer::handleHistoryPartRequest);
    handle(FrameKind::WriteRecords, &RecordsServer::handleWrite);
    handle(FrameKind::PullKeys, &RecordsServer::handlePull);
    handle(FrameKind::FetchRecords, &RecordsServer::handleFetch);
    handle(FrameKind::GrantTokens, &RecordsServer::handleGrant);
    this->hub.setHandler(FrameKind::RecordsViewNotice, [this](const auto &, const auto &frame) {
        if (const auto document = RecordsCodec::decodeNotice(frame.payload))
            this->hooks.newerView(*document);
    });
    for (const FrameKind kind : {FrameKind::CrashNotice, FrameKind::CrashSuspicionCleared})
        handle(kind, &RecordsServer::forwardToEntryVms);
    this->hub.addLinkHandler([this](const VmIncarnation &peer, bool up) {
        if (up)
            this->connectedVms.insert(peer);
        else
            this->connectedVms.erase(peer);
    });
    this->maintenanceTimer =
            this->timers.every(maintenanceInterval, [this] { this->runMaintenance(); });
    this->silenceTimer = this->timers.every(silenceCheckInterval, [this] {
        this->reportLostPlaces();
        this->reportCopiedPredecessors();
    });
    this->quotaTimer = this->timers.every(QuotaGrants::accrualInterval,
                                          [this] { this->quotas.update(this->timers.now()); });
}

void RecordsServer::forwardToEntryVms(const VmIncarnation &peer, const PeerFrame &frame)
{
    if (frame.correlation == forwardedNotice)
        return;
    PeerFrame forwarded = frame;
    forwarded.correlation = forwardedNotice;
    for (const VmIncarnation &vm : this->connectedVms) {
        if (vm != peer && this->wholeView.member(vm) == nullptr)
            this->hub.send(vm, forwarded);
    }
}

void RecordsServer::setView(const RecordsView &newView)
{
    if (newView.number <= this->view.number)
        return;
    const RecordsMember *before = this->view.member(this->hub.self());
    const RecordsMember *after = newView.member(this->hub.self());
    const RecordsView groupView = newView.ofGroup(after == nullptr ? 0 : after->group);
    const bool wasLeaving = before != nullptr && before->state == MemberState::Leaving;
    if (after != nullptr && after->state == MemberState::Leaving && !wasLeaving)
        this->lastCountedSequence = this->index.lastSequence();
    this->wholeView = newView;
    this->view = groupView;
    this->copiedReported = false;
    this->syncedReported = false;
    this->viewAdoptedAt = this->timers.now();
    this->positionWhenCopied = std::nullopt;
    std::erase_if(this->copiedTo,
                  [this](const auto &entry) { return this->view.member(entry.first) == nullptr; });
    this->sync.setView(groupView);
    this->silence.setView(groupView, this->timers.now());
    this->quotas.setView(groupView, this->timers.now());
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
    reply.hasAllReservations = self != nullptr && self->hasAllRecords();
    std::uint64_t sequence = 0;
    if (message->reservation) {
        sequence = this->appendReceived(*message->reservation);
        reply.reservations =
                this->index.reservations(message->reservation->program, message->reservation->key);
    }
    this->lookUpChain(*message, reply);
    const auto answer = [this, peer, epoch = frame.epoch, correlation = frame.correlation, reply,
                         receivedAt = this->timers.now()] {
        this->logIfSlow(receivedAt);
        this->hub.send(peer, {FrameKind::OpenTurnReply, this->replyEpoch(epoch), correlation,
                              RecordsCodec::encodeOpenReply(reply)});
    };
    if (sequence == 0)
        answer();
    else
        this->log.whenDurable(sequence, answer);
}

void RecordsServer::logIfSlow(TimerService::SteadyTime receivedAt)
{
    const TimerService::SteadyTime now = this->timers.now();
    const auto duration = std::chrono::floor<milliseconds>(now - receivedAt);
    if (duration < slowWrite || now - this->slowWriteLogged < slowWriteLogInterval)
        return;
    this->slowWriteLogged = now;
    LogEvent(LogSeverity::Warning, "recordsWriteSlow")
            .field("milliseconds", static_cast<qint64>(duration.count()));
}

void RecordsServer::lookUpChain(const OpenTurnMessage &message, OpenTurnReplyMessage &reply)
{
    if (message.previousTurn.isEmpty())
        return;
    const ChainLookup lookup =
            this->index.chain(message.previousTurn, message.team, this->expiredBefore());
    reply.chain = lookup.status;
    if (lookup.status != ChainStatus::Found || !message.wantsHistory)
        return;
    const bool canFetchParts = message.maximumHistoryBytes > 0;
    const qsizetype limit = canFetchParts ? message.maximumHistoryBytes : maximumWholeHistoryBytes;
    HistoryPartMessage part = this->histories.read({message.team, message.previousTurn, {}, limit},
                                                   this->expiredBefore());
    reply.chain = part.chain;
    if (part.atEnd)
        reply.history = std::move(part.bytes);
    else if (part.chain == ChainStatus::Found && canFetchParts)
        reply.historyInParts = true;
    else
        reply.chain = ChainStatus::Incomplete; // a VM of an earlier version can't get the rest
}

void RecordsServer::handleHistoryPartRequest(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeHistoryPartRequest(frame.payload);
    if (!message)
        return;
    const HistoryPartMessage part = this->histories.read(*message, this->expiredBefore());
    this->hub.send(peer, {FrameKind::HistoryPart, this->view.number, frame.correlation,
                          RecordsCodec::encodeHistoryPart(part)});
}

void RecordsServer::handleWrite(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto records = RecordsCodec::decodeRecords(frame.payload);
    if (!records || this->refuseOldView(peer, frame))
        return;
    std::uint64_t last = 0;
    bool isOtherRun = false;
    for (const Record &record : *records) {
        isOtherRun = isOtherRun || this->holdsOtherRun(record);
        last = std::max(last, this->appendReceived(record));
    }
    if (frame.correlation == 0 || last == 0 || isOtherRun)
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
    this->silence.recordRequest(peer, message->silentDisks, this->timers.now());
    this->quotas.lease().recordRequest(peer, message->silentDisks, this->timers.now());
    const auto found = this->index.namesAfter(message->after, namesPerPage);
    PullKeysReplyMessage reply;
    for (const auto &[sequence, name] : found)
        reply.names.push_back(name);
    reply.next = found.empty() ? message->after : found.back().first;
    reply.atEnd = found.size() < namesPerPage;
    reply.foundSilent = this->quotas.lease().wasFoundSilent(peer, this->timers.now());
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
        // The copy must not expire before the turns that continue it are copied.
        record->expires = std::max(record->expires, this->index.keptUntil(name));
        records.push_back(std::move(*record));
        if (bytes >= maximumFetchBytes)
            break;
    }
    // The requester takes a name before the last record of the reply, or any if there is none, for
    // one that this VM can't deliver.
    this->hub.send(peer, {FrameKind::FetchRecordsReply, this->view.number, frame.correlation,
                          RecordsCodec::encodeRecords(records)});
}

void RecordsServer::handleGrant(const VmIncarnation &peer, const PeerFrame &frame)
{
    const auto message = RecordsCodec::decodeGrant(frame.payload);
    if (!message)
        return;
    this->configuration.requestIfNewer(peer, message->configurationVersion);
    GrantTokensReplyMessage reply;
    for (const TeamDemandMessage &demand : message->demands)
        reply.grants.push_back(this->grantTokens(peer, demand, message->configurationVersion));
    reply.configurationVersion = this->configuration.version();
    this->hub.send(peer, {FrameKind::GrantTokensReply, this->view.number, frame.correlation,
                          RecordsCodec::encodeGrantReply(reply)});
}

TeamGrantMessage RecordsServer::grantTokens(const VmIncarnation &peer,
                                            const TeamDemandMessage &demand,
                                            std::uint64_t configurationVersion)
{
    const RecordsMember *self = this->wholeView.member(this->hub.self());
    if (self != nullptr && self->group == this->wholeView.groupOf(demand.team))
        return this->quotas.grant(peer, demand, configurationVersion, this->timers.now());
    TeamGrantMessage refusal;
    refusal.team = demand.team;
    refusal.isHolder = false;
    return refusal;
}

void RecordsServer::replay(std::uint64_t sequence, const Record &record)
{
    // Floors are local to this VM: each team's last one applies, and no other member requests them.
    if (record.kind == RecordKind::QuotaFloor)
        this->quotas.restoreFloor(record.team, static_cast<double>(record.tokens));
    else
        this->index.add(record, sequence);
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
    // A frame's epoch is the number of its sender's view. If the peer has a newer view, request it:
    // a peer answers any request under an older view with its own view, also this empty one.
    if (frame.epoch > this->view.number)
        this->hub.send(peer,
                       {FrameKind::PullKeys, this->view.number, 0, RecordsCodec::encodePull({})});
    if (frame.epoch >= this->view.number && this->view.number > 0)
        return false;
    this->hub.send(peer, {FrameKind::RecordsViewNotice, this->view.number, frame.correlation,
                          RecordsCodec::encodeNotice(this->wholeView.toDocument())});
    return true;
}

std::uint64_t RecordsServer::replyEpoch(std::uint64_t requestEpoch) const
{
    // The requester drops replies whose epoch is not the number of its own view. If it has a newer
    // view than this VM, the reply is valid under that view. If this VM has adopted a newer view
    // meanwhile, the reply must not be valid under the old one.
    return std::max(requestEpoch, this->view.number);
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

std::uint64_t RecordsServer::appendReceived(const Record &record)
{
    const std::uint64_t sequence = this->append(record);
    const RecordName name = nameOf(record);
    if (this->sync.isAwaited(name))
        this->log.whenDurable(sequence, [this, name] { this->sync.recordStored(name); });
    return sequence;
}

bool RecordsServer::holdsOtherRun(const Record &record)
{
    const std::uint64_t known = this->index.sequenceOf(nameOf(record));
    if (record.kind != RecordKind::Turn || known == 0)
        return false;
    const std::optional<Record> held = this->log.read(known);
    if (held && haveSameHistory(*held, record))
        return false;
    LogEvent(LogSeverity::Warning, "turnNotAcknowledged")
            .field("request", QString::fromLatin1(record.key))
            .field("reason", held ? "another run of the turn is kept" : "its record can't be read");
    return true;
}

std::chrono::system_clock::time_point RecordsServer::expiredBefore() const
{
    return this->timers.wallNow() - clockSkewAllowance;
}

int RecordsServer::joiningSources(const RecordsMember &joiner) const
{
    // Members that have left since then were copied by the synced ones, and those that lost their
    // disks can't be copied any more: a higher number would keep this VM from ever counting.
    const auto sources = std::count_if(this->view.members.begin(), this->view.members.end(),
                                       [](const auto &member) { return member.hasAllRecords(); });
    return std::max(1, std::min(joiner.syncSources, static_cast<int>(sources)));
}

int RecordsServer::takeoverSources(const RecordsMember &standby) const
{
    // The number from the time of joining is too low if the group lacked members then. A standby
    // with so few sources could replace a member of a quorum on the other side of a partition.
    return std::max(standby.syncSources, RecordsGroups::syncSources(this->view));
}

void RecordsServer::checkSynced()
{
    const RecordsMember *self = this->view.member(this->hub.self());
    if (self == nullptr)
        return;
    if (!self->hasAllRecords() && !this->view.isStandby(*self) && !this->syncedReported
        && this->sync.completedSources() >= this->joiningSources(*self)) {
        this->syncedReported = true;
        this->hooks.synced();
    }
    // Without its predecessor's records, the others might take one that only few have for unknown.
    const bool isNeeded = !self->hasAllRecords() && !self->predecessorCopied;
    if (self->state != MemberState::Leaving || isNeeded || this->copiedReported)
        return;
    const bool copied = std::all_of(
            this->view.members.begin(), this->view.members.end(), [this](const auto &member) {
                const auto position = this->copiedTo.find(member.vm.incarnation);
                return member.state != MemberState::Synced
                       || (position != this->copiedTo.end()
                           && position->second >= this->lastCountedSequence);
            });
    // One more lost disk has to be borne without this one.
    const int synced = this->respondingMembers(
            [](const auto &member) { return member.state == MemberState::Synced; });
    if (copied && synced > this->view.toleratedDisks) {
        this->copiedReported = true;
        this->hooks.copied();
    }
}

} // namespace lacewingmux
