#include "lacewingmux_http/forward/OwnerForwarder.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_http/forward/ForwardCodec.h"
#include "lacewingmux_http/forward/RequestHome.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds sweepInterval{250};

/** Tells whether another VM may be the owner by now. */
bool isOwnerChange(ErrorKind kind)
{
    return kind == ErrorKind::OwnerUnavailable || kind == ErrorKind::ShuttingDown;
}

} // namespace

OwnerForwarder::Forward::Forward(const OwnerRequest &ownerRequest, ResponseSink responseSink)
    : request(ownerRequest)
    , sink(std::make_shared<const ResponseSink>(std::move(responseSink)))
    , assembly(ownerRequest.stream)
{ }

OwnerForwarder::OwnerForwarder(TimerService &timerService, MetricsRecorder &metricsRecorder,
                               PeerHub &trafficHub, OwnerService &localOwner,
                               const SentRequests &sentRequests,
                               ForwarderSettings forwarderSettings)
    : timers(timerService)
    , metrics(metricsRecorder)
    , hub(trafficHub)
    , local(localOwner)
    , sent(sentRequests)
    , settings(std::move(forwarderSettings))
    , finder(trafficHub)
    , sweep(timerService.every(sweepInterval, [this] { this->enforceDeadlines(); }))
{
    this->subscribe();
}

OwnerForwarder::~OwnerForwarder()
{
    *this->alive = false;
}

void OwnerForwarder::subscribe()
{
    for (const FrameKind kind : {FrameKind::OwnerResponseHead, FrameKind::OwnerResponseChunk,
                                 FrameKind::OwnerResponseEnd, FrameKind::OwnerResponseError}) {
        this->hub.setHandler(kind, [this, token = this->alive](const VmIncarnation &sender,
                                                               const PeerFrame &frame) {
            if (*token)
                this->onFrame(sender, frame);
        });
    }
    this->hub.addLinkHandler([this, token = this->alive](const VmIncarnation &peer, bool up) {
        if (*token)
            this->onLink(peer, up);
    });
}

void OwnerForwarder::adoptViews(std::shared_ptr<const FleetViews> newViews)
{
    this->finder.adoptViews(std::move(newViews));
    const auto askedWhoLeft = this->select([this](const Forward &forward) {
        return forward.target && this->finder.hasLeft(*forward.target);
    });
    for (const OwnerRequestHandle handle : askedWhoLeft)
        this->attemptLost(handle);
    this->retryWaiting();
}

OwnerRequestHandle OwnerForwarder::handle(const OwnerRequest &request, ResponseSink sink)
{
    const OwnerRequestHandle handle = this->nextHandle++;
    Forward forward(request, std::move(sink));
    forward.deadline = this->timers.now() + request.timeout + this->settings.answerGrace;
    forward.mayHaveRun = this->sent.contains(request);
    try {
        forward.home = homeOf(request, this->settings.configuredZones);
    } catch (const LacewingmuxError &error) {
        forward.sink->fail(error);
        return handle;
    }
    this->forwards.emplace(handle, std::move(forward));
    this->tryForward(handle);
    return handle;
}

void OwnerForwarder::callerGone(OwnerRequestHandle request)
{
    auto node = this->forwards.extract(request);
    if (!node.empty())
        this->abandonAttempt(node.mapped());
}

void OwnerForwarder::withdrawKey(const QString &keyId)
{
    this->local.withdrawKey(keyId);
}

void OwnerForwarder::tryForward(OwnerRequestHandle handle)
{
    Forward *forward = this->find(handle);
    if (forward == nullptr || forward->attempt != 0)
        return;
    const OwnerLocation location = forward->home ? this->finder.ownerOf(*forward->home)
                                                 : this->finder.anyOwner(forward->refusals);
    if (location.owner == this->hub.self()) {
        this->askLocally(handle, *forward);
        return;
    }
    if (location.owner && this->askRemotely(handle, *forward, *location.owner))
        return;
    // An answer that an owner may have begun is worth some waiting, also for its zone.
    if (location.zoneUnreachable && forward->refusals == 0)
        this->giveUp(handle, ErrorKind::ZoneUnreachable,
                     QStringLiteral("the home zone can't be reached"));
    else
        this->retryLater(handle, location.zoneUnreachable ? ErrorKind::ZoneUnreachable
                                                          : ErrorKind::OwnerUnavailable);
}

void OwnerForwarder::askLocally(OwnerRequestHandle handle, Forward &forward)
{
    forward.target.reset();
    const OwnerRequest request = this->remaining(forward);
    const Correlation attempt = this->startAttempt(handle, forward);
    const OwnerRequestHandle localHandle = this->local.handle(request, this->localSink(attempt));
    if (Forward *still = this->findAttempt(attempt))
        still->localHandle = localHandle;
}

bool OwnerForwarder::askRemotely(OwnerRequestHandle handle, Forward &forward,
                                 const VmIncarnation &owner)
{
    PeerFrame frame;
    frame.kind = FrameKind::OwnerRequest;
    frame.epoch = this->finder.epochOf(owner.zone);
    frame.payload = encode(this->remaining(forward));
    frame.correlation = this->startAttempt(handle, forward);
    forward.target = owner;
    if (this->hub.send(owner, frame))
        return true;
    this->closeAttempt(forward);
    return false;
}

OwnerRequest OwnerForwarder::remaining(const Forward &forward) const
{
    OwnerRequest request = forward.request;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            forward.deadline - this->settings.answerGrace - this->timers.now());
    request.timeout = std::max(left, std::chrono::milliseconds(1));
    return request;
}

OwnerForwarder::Correlation OwnerForwarder::startAttempt(OwnerRequestHandle handle,
                                                         Forward &forward)
{
    forward.retry.cancel();
    forward.assembly.restart();
    forward.attempt = this->nextCorrelation++;
    forward.attemptStarted = this->timers.now();
    this->attempts.emplace(forward.attempt, handle);
    return forward.attempt;
}

void OwnerForwarder::closeAttempt(Forward &forward)
{
    this->attempts.erase(forward.attempt);
    forward.attempt = 0;
    forward.target.reset();
    forward.localHandle.reset();
}

void OwnerForwarder::abandonAttempt(Forward &forward)
{
    const Correlation attempt = forward.attempt;
    const std::optional<VmIncarnation> target = forward.target;
    const std::optional<OwnerRequestHandle> localHandle = forward.localHandle;
    this->closeAttempt(forward);
    if (localHandle)
        this->local.callerGone(*localHandle);
    if (attempt == 0 || !target)
        return;
    PeerFrame frame;
    frame.kind = FrameKind::OwnerRequestCancel;
    frame.correlation = attempt;
    this->hub.send(*target, frame);
}

void OwnerForwarder::onFrame(const VmIncarnation &sender, const PeerFrame &frame)
{
    const Forward *forward = this->findAttempt(frame.correlation);
    if (forward == nullptr || forward->target != sender)
        return; // of an attempt that is over
    if (this->takeFrame(frame.correlation, frame))
        return;
    const auto attempt = this->attempts.find(frame.correlation);
    if (attempt != this->attempts.end())
        this->attemptLost(attempt->second);
}

bool OwnerForwarder::takeFrame(Correlation attempt, const PeerFrame &frame)
{
    if (frame.kind == FrameKind::OwnerResponseHead) {
        const auto head = decodeForwardedHead(frame.payload);
        if (head)
            this->findAttempt(attempt)->assembly.begin(head->httpStatus, head->headers);
        return head.has_value();
    }
    if (frame.kind == FrameKind::OwnerResponseChunk) {
        const auto chunk = decodeForwardedChunk(frame.payload);
        return chunk && this->takeChunk(attempt, chunk->sequence, chunk->bytes);
    }
    if (frame.kind == FrameKind::OwnerResponseEnd) {
        const auto end = decodeForwardedEnd(frame.payload);
        if (end)
            this->takeEnd(attempt, end->chunkCount);
        return end.has_value();
    }
    const auto error = decodeForwardedError(frame.payload);
    if (error)
        this->takeError(attempt, *error);
    return error.has_value();
}

bool OwnerForwarder::takeChunk(Correlation attempt, std::uint32_t sequence, const QByteArray &bytes)
{
    Forward *forward = this->findAttempt(attempt);
    // Held here: the caller may go while it is given the chunk, which forgets the request.
    const std::shared_ptr<const ResponseSink> sink = forward->sink;
    return forward->assembly.chunk(sequence, bytes, *sink);
}

void OwnerForwarder::takeEnd(Correlation attempt, std::uint32_t chunkCount)
{
    const OwnerRequestHandle handle = this->attempts.at(attempt);
    auto node = this->forwards.extract(handle);
    this->attempts.erase(attempt);
    if (node.mapped().assembly.end(chunkCount, *node.mapped().sink))
        return;
    node.mapped().attempt = 0;
    this->forwards.insert(std::move(node));
    this->attemptLost(handle);
}

void OwnerForwarder::takeError(Correlation attempt, const LacewingmuxError &error)
{
    const OwnerRequestHandle handle = this->attempts.at(attempt);
    Forward &forward = *this->find(handle);
    if (isOwnerChange(error.kind()) && !forward.assembly.hasShown()) {
        this->noteTrouble(forward);
        this->closeAttempt(forward);
        forward.mayHaveRun = forward.mayHaveRun || error.executed() != Executed::No;
        this->retryLater(handle, error.kind());
        return;
    }
    // The owner knows all about a request that can be recognised. Of another, only what it ran
    // itself: an attempt that was lost before may have run elsewhere.
    const bool lostBefore = forward.mayHaveRun && requestIdentity(forward.request).isEmpty();
    if (lostBefore && error.executed() == Executed::No)
        this->fail(handle, LacewingmuxError(error.kind(), error.message(), Executed::Unknown,
                                            error.retryAfter()));
    else
        this->fail(handle, error);
}

ResponseSink OwnerForwarder::localSink(Correlation attempt)
{
    ResponseSink sink;
    sink.begin = [this, attempt, token = this->alive](int status,
                                                      const std::vector<HttpHeader> &headers) {
        if (Forward *forward = *token ? this->findAttempt(attempt) : nullptr)
            forward->assembly.begin(status, headers);
    };
    const auto nextSequence = std::make_shared<std::uint32_t>(0);
    sink.chunk = [this, attempt, nextSequence, token = this->alive](const QByteArray &bytes) {
        if (*token && this->findAttempt(attempt) != nullptr)
            (void)this->takeChunk(attempt, (*nextSequence)++, bytes);
    };
    sink.end = [this, attempt, nextSequence, token = this->alive] {
        if (*token && this->findAttempt(attempt) != nullptr)
            this->takeEnd(attempt, *nextSequence);
    };
    sink.fail = [this, attempt, token = this->alive](const LacewingmuxError &error) {
        if (*token && this->findAttempt(attempt) != nullptr)
            this->takeError(attempt, error);
    };
    return sink;
}

void OwnerForwarder::onLink(const VmIncarnation &peer, bool up)
{
    if (up) {
        this->retryWaiting();
        return;
    }
    const auto concerned = this->select([&peer](const Forward &forward) {
        return forward.attempt != 0 && forward.target == peer;
    });
    for (const OwnerRequestHandle handle : concerned)
        this->attemptLost(handle);
}

void OwnerForwarder::noteTrouble(Forward &forward) const
{
    ++forward.refusals;
    const auto now = this->timers.now();
    const bool attemptWorked = now - forward.attemptStarted > this->settings.ownerWait;
    if (forward.troubleSince && !attemptWorked)
        return;
    forward.troubleSince = now;
    forward.retryDelay = std::chrono::milliseconds(0);
}

void OwnerForwarder::attemptLost(OwnerRequestHandle handle)
{
    Forward *forward = this->find(handle);
    if (forward == nullptr)
        return;
    this->noteTrouble(*forward);
    this->abandonAttempt(*forward);
    forward->mayHaveRun = true;
    if (forward->assembly.hasShown()) {
        this->fail(handle, LacewingmuxError(ErrorKind::OwnerUnavailable,
                                            QStringLiteral("the owner was lost in the middle of "
                                                           "the answer; a call's whole answer can "
                                                           "be fetched by its number"),
                                            Executed::Unknown));
        return;
    }
    this->retryLater(handle, ErrorKind::OwnerUnavailable);
}

void OwnerForwarder::retryLater(OwnerRequestHandle handle, ErrorKind reason)
{
    Forward &forward = *this->find(handle);
    const auto now = this->timers.now();
    if (!forward.troubleSince)
        forward.troubleSince = now;
    if (now - *forward.troubleSince >= this->settings.ownerWait) {
        this->giveUp(handle, reason, QStringLiteral("no owner could be reached in time"));
        return;
    }
    forward.retryDelay = std::clamp(forward.retryDelay * 2, this->settings.shortestRetry,
                                    this->settings.longestRetry);
    this->metrics.count("lacewingmux_forward_retries_total", {}, 1);
    forward.retry =
            this->timers.after(forward.retryDelay, [this, handle] { this->tryForward(handle); });
}

void OwnerForwarder::retryWaiting()
{
    const auto waiting = this->select([](const Forward &forward) { return forward.attempt == 0; });
    for (const OwnerRequestHandle handle : waiting)
        this->tryForward(handle);
}

void OwnerForwarder::fail(OwnerRequestHandle handle, const LacewingmuxError &error)
{
    auto node = this->forwards.extract(handle);
    if (node.empty())
        return;
    this->attempts.erase(node.mapped().attempt);
    node.mapped().sink->fail(error);
}

void OwnerForwarder::giveUp(OwnerRequestHandle handle, ErrorKind reason, const QString &message)
{
    const bool mayHaveRun = this->find(handle)->mayHaveRun;
    this->fail(handle,
               LacewingmuxError(reason, message, mayHaveRun ? Executed::Unknown : Executed::No));
}

void OwnerForwarder::enforceDeadlines()
{
    const auto now = this->timers.now();
    const auto overdue =
            this->select([now](const Forward &forward) { return now > forward.deadline; });
    for (const OwnerRequestHandle handle : overdue) {
        Forward *forward = this->find(handle);
        if (forward == nullptr)
            continue;
        forward->mayHaveRun = forward->mayHaveRun || forward->attempt != 0;
        this->abandonAttempt(*forward);
        this->giveUp(handle,
                     forward->mayHaveRun ? ErrorKind::BackendTimeout : ErrorKind::OwnerUnavailable,
                     QStringLiteral("no answer came in time"));
    }
}

std::vector<OwnerRequestHandle>
OwnerForwarder::select(const std::function<bool(const Forward &)> &predicate) const
{
    std::vector<OwnerRequestHandle> selected;
    for (const auto &[handle, forward] : this->forwards) {
        if (predicate(forward))
            selected.push_back(handle);
    }
    return selected;
}

OwnerForwarder::Forward *OwnerForwarder::find(OwnerRequestHandle handle)
{
    const auto found = this->forwards.find(handle);
    return found == this->forwards.end() ? nullptr : &found->second;
}

OwnerForwarder::Forward *OwnerForwarder::findAttempt(Correlation attempt)
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? nullptr : this->find(found->second);
}

} // namespace lacewingmux
