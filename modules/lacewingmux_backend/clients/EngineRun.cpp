#include "lacewingmux_backend/clients/EngineRun.h"

#include "lacewingmux_backend/clients/EngineMessages.h"
#include "lacewingmux_backend/clients/HttpExchange.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr int maxResumptions = 3;
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
    this->open(this->call);
}

EngineRun::~EngineRun() = default;

void EngineRun::open(const BackendCall &request)
{
    BackendRunListener exchangeListener;
    if (this->call.stream)
        exchangeListener.chunk = [this](const QByteArray &bytes) { this->readStream(bytes); };
    exchangeListener.finished = [this](const BackendAnswer &answer) {
        this->exchangeFinished(answer);
    };
    this->reader = EventStreamReader();
    this->exchange = std::make_unique<HttpExchange>(this->connections, this->timers, request,
                                                    std::move(exchangeListener));
}

void EngineRun::resume()
{
    ++this->resumptions;
    BackendCall request = this->call;
    request.method = "GET";
    request.path = "/v1/requests/" + this->call.requestId.toUtf8().toPercentEncoding()
                   + "/stream?after=" + QByteArray::number(static_cast<qint64>(this->nextSequence));
    request.body.clear();
    request.idempotent = true;
    request.timeout = std::max(std::chrono::milliseconds(1),
                               std::chrono::duration_cast<std::chrono::milliseconds>(
                                       this->deadline - this->timers.now()));
    this->open(request);
}

void EngineRun::readStream(const QByteArray &bytes)
{
    QByteArray fresh;
    const std::vector<StreamEvent> events = this->reader.append(bytes);
    for (const StreamEvent &event : events) {
        if (this->takeEvent(event))
            fresh += event.bytes;
    }
    if (!fresh.isEmpty() && this->listener.chunk)
        this->listener.chunk(fresh);
}

bool EngineRun::takeEvent(const StreamEvent &event)
{
    if (this->ended || this->missedEvent)
        return false;
    if (const auto sequence = event.sequence()) {
        if (*sequence < this->nextSequence)
            return false; // a duplicate
        if (*sequence > this->nextSequence) {
            this->missedEvent = true;
            return false;
        }
        ++this->nextSequence;
    }
    readUsage(event.json, this->usage);
    this->assembler.add(event.json);
    this->ended = event.isEnd;
    return true;
}

void EngineRun::exchangeFinished(const BackendAnswer &answer)
{
    this->exchange.reset();
    const bool isStream = this->call.stream && answer.httpStatus == httpOk;
    if (!this->call.stream || (answer.completed() && !isStream && this->resumptions == 0)) {
        BackendAnswer complete = answer;
        readUsage(QJsonDocument::fromJson(answer.body).object(), complete);
        this->finish(complete);
        return;
    }
    if (this->ended) {
        // The end mark makes the stream whole, even if the connection broke after it.
        BackendAnswer complete = answer;
        complete.failure = BackendFailure::None;
        complete.executed = Executed::Yes;
        complete.httpStatus = httpOk;
        this->finish(complete);
        return;
    }
    if (this->canResume(answer)) {
        this->missedEvent = false;
        this->resume();
        return;
    }
    BackendAnswer lost = answer;
    if (lost.completed() || lost.failure == BackendFailure::NotSent) {
        const bool neverSent = lost.failure == BackendFailure::NotSent && this->resumptions == 0;
        lost.failure = neverSent ? BackendFailure::NotSent : BackendFailure::ConnectionLost;
        lost.executed = neverSent ? Executed::No : Executed::Unknown;
        lost.message = QStringLiteral("the stream broke off before its end");
    }
    this->finish(lost);
}

bool EngineRun::canResume(const BackendAnswer &answer) const
{
    // Without numbered events nobody can tell what is missing.
    const bool numbered = this->nextSequence > 0;
    const bool broken = answer.completed() || answer.failure == BackendFailure::ConnectionLost;
    const bool inTime = this->timers.now() < this->deadline;
    return numbered && broken && inTime && this->resumptions < maxResumptions;
}

void EngineRun::finish(BackendAnswer answer)
{
    if (this->call.stream && answer.completed() && this->ended) {
        answer.body = this->assembler.body();
        answer.headers = {{"Content-Type", "application/json"}};
        answer.inputTokens = this->usage.inputTokens;
        answer.cachedTokens = this->usage.cachedTokens;
        answer.outputTokens = this->usage.outputTokens;
    }
    const auto finished = std::move(this->listener.finished);
    finished(answer);
}

} // namespace lacewingmux
