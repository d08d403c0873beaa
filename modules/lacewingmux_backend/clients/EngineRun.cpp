#include "lacewingmux_backend/clients/EngineRun.h"

#include "lacewingmux_backend/clients/EngineMessages.h"
#include "lacewingmux_backend/clients/HttpExchange.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr int maxResumes = 3;
constexpr int httpOk = 200;

} // namespace

EngineRun::EngineRun(ConnectionPool &connectionPool, TimerService &timerService,
                     BackendCall engineCall, BackendRunListener runListener)
    : connections(connectionPool)
    , timers(timerService)
    , call(std::move(engineCall))
    , listener(std::move(runListener))
    , deadline(timerService.now() + this->call.timeout)
{
    this->call.headers.push_back({"Lacewingmux-Program", this->call.program.toUtf8()});
    this->call.headers.push_back({"Lacewingmux-Priority", QByteArray::number(this->call.priority)});
    this->call.headers.push_back({"Content-Type", "application/json"});
    this->call.body = engineBody(this->call);
    this->startExchange(this->call);
}

EngineRun::~EngineRun() = default;

void EngineRun::startExchange(const BackendCall &request)
{
    BackendRunListener exchangeListener;
    if (this->call.stream)
        exchangeListener.chunk = [this](const QByteArray &bytes) { this->readStream(bytes); };
    exchangeListener.finished = [this](const BackendResponse &response) {
        this->exchangeFinished(response);
    };
    this->attempt = StreamAttempt();
    this->exchange = std::make_unique<HttpExchange>(this->connections, this->timers, request,
                                                    std::move(exchangeListener));
}

void EngineRun::resumeStream()
{
    ++this->resumeCount;
    BackendCall request = this->call;
    request.method = "GET";
    request.path = "/v1/requests/" + this->call.requestId.toUtf8().toPercentEncoding()
                   + "/stream?after="
                   + QByteArray::number(static_cast<qint64>(this->sequence.nextNumber()));
    request.body.clear();
    request.idempotent = true;
    request.sendBefore.reset(); // resuming starts no run
    request.timeout = std::max(std::chrono::milliseconds(1),
                               std::chrono::duration_cast<std::chrono::milliseconds>(
                                       this->deadline - this->timers.now()));
    this->startExchange(request);
}

void EngineRun::readStream(const QByteArray &bytes)
{
    QByteArray acceptedBytes;
    const std::vector<StreamEvent> events = this->attempt.reader.append(bytes);
    for (const StreamEvent &event : events) {
        if (this->acceptEvent(event))
            acceptedBytes += event.bytes;
    }
    if (!acceptedBytes.isEmpty() && this->listener.chunk)
        this->listener.chunk(acceptedBytes);
}

bool EngineRun::acceptEvent(const StreamEvent &event)
{
    if (this->endReceived || this->attempt.isUnusable)
        return false;
    const EventVerdict verdict = this->sequence.accept(event, this->resumeCount > 0);
    this->attempt.isUnusable = verdict == EventVerdict::Unusable;
    if (verdict != EventVerdict::Accept)
        return false;
    readUsage(event.json, this->usage);
    this->assembler.add(event.json);
    this->endReceived = event.isEnd;
    return true;
}

void EngineRun::exchangeFinished(const BackendResponse &response)
{
    this->exchange.reset();
    const bool isStream = this->call.stream && response.httpStatus == httpOk;
    if (!this->call.stream || (response.completed() && !isStream && this->resumeCount == 0)) {
        BackendResponse responseWithUsage = response;
        readUsage(QJsonDocument::fromJson(response.body).object(), responseWithUsage);
        this->finish(responseWithUsage);
        return;
    }
    if (this->endReceived) {
        // With its end event the stream is complete, even if the connection broke afterwards.
        BackendResponse completeResponse = response;
        completeResponse.failure = BackendFailure::None;
        completeResponse.executed = Executed::Yes;
        completeResponse.httpStatus = httpOk;
        this->finish(completeResponse);
        return;
    }
    if (this->canResumeStream(response)) {
        this->resumeStream();
        return;
    }
    BackendResponse result = response;
    if (result.completed() || result.failure == BackendFailure::NotSent) {
        const bool neverSent = result.failure == BackendFailure::NotSent && this->resumeCount == 0;
        result.failure = neverSent ? BackendFailure::NotSent : BackendFailure::ConnectionLost;
        result.executed = neverSent ? Executed::No : Executed::Unknown;
        result.message = QStringLiteral("the stream broke off before its end");
    }
    this->finish(result);
}

bool EngineRun::canResumeStream(const BackendResponse &response) const
{
    // Without sequence numbers the first missing event is unknown.
    const bool hasSequenceNumbers = this->sequence.nextNumber() > 0;
    // The response body or the connection ended before the end event.
    const bool endedEarly =
            response.completed() || response.failure == BackendFailure::ConnectionLost;
    const bool beforeDeadline = this->timers.now() < this->deadline;
    return hasSequenceNumbers && endedEarly && beforeDeadline && this->resumeCount < maxResumes;
}

void EngineRun::finish(BackendResponse response)
{
    if (this->call.stream && response.completed() && this->endReceived) {
        response.body = this->assembler.body();
        response.headers = {{"Content-Type", "application/json"}};
        response.inputTokens = this->usage.inputTokens;
        response.cachedTokens = this->usage.cachedTokens;
        response.outputTokens = this->usage.outputTokens;
    }
    const auto finished = std::move(this->listener.finished);
    finished(response);
}

} // namespace lacewingmux
