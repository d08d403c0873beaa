#include "lacewingmux_http/front/RequestFront.h"

#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_http/front/CredentialFilter.h"
#include "lacewingmux_http/front/FrontRequest.h"
#include "lacewingmux_http/front/RequestReader.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerRequest.h"

#include <utility>
#include <vector>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds sweepInterval{500};
/** How much longer than the caller's timeout the owner gets to answer for itself. */
constexpr std::chrono::milliseconds ownerGrace{5000};
constexpr int firstServerErrorStatus = 500;

std::vector<HttpHeader> contentType(const QByteArray &type)
{
    return {{"Content-Type", type}};
}

} // namespace

RequestFront::RequestFront(TimerService &timerService, MetricsRecorder &metricsRecorder,
                           AdmissionGate &admissionGate, OwnerService &ownerService,
                           SentRequests &sentRequests, FrontHooks frontHooks)
    : timers(timerService)
    , metrics(metricsRecorder)
    , admission(admissionGate)
    , owner(ownerService)
    , sent(sentRequests)
    , hooks(std::move(frontHooks))
    , sweep(timerService.every(sweepInterval, [this] { this->enforceTimeouts(); }))
{ }

RequestFront::~RequestFront()
{
    *this->alive = false;
    for (auto &[number, request] : this->openRequests)
        request.relay.answer().setCallerGoneHandler(nullptr);
}

void RequestFront::adoptConfiguration(std::shared_ptr<const Configuration> newConfiguration)
{
    this->configuration = std::move(newConfiguration);
}

void RequestFront::handle(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer)
{
    if (this->answerForMonitoring(request, *answer))
        return;
    try {
        this->process(std::move(request), answer);
    } catch (const LacewingmuxError &error) {
        this->metrics.count(
                "lacewingmux_refusals_total",
                {{QStringLiteral("kind"), QString::fromLatin1(answerFor(error.kind()).name)}}, 1);
        answer->fail(error);
    }
}

void RequestFront::withdrawKey(const QString &keyId)
{
    std::vector<RequestNumber> concerned;
    for (const auto &[number, request] : this->openRequests) {
        if (request.request.keyId == keyId)
            concerned.push_back(number);
    }
    for (const RequestNumber number : concerned) {
        this->refuse(number, LacewingmuxError(ErrorKind::KeyWithdrawn,
                                              QStringLiteral("the key was withdrawn")));
    }
}

bool RequestFront::answerForMonitoring(const CallerRequest &request, CallerAnswer &answer)
{
    if (request.path == "/healthz") {
        answer.send(200, contentType("application/json"), R"({"status":"ok"})");
        return true;
    }
    if (request.path == "/readyz") {
        if (this->draining)
            answer.fail(LacewingmuxError(ErrorKind::ShuttingDown,
                                         QStringLiteral("this VM is stopping")));
        else if (this->configuration == nullptr || (this->hooks.isReady && !this->hooks.isReady()))
            answer.fail(LacewingmuxError(ErrorKind::OwnerUnavailable,
                                         QStringLiteral("this VM is not ready yet")));
        else
            answer.send(200, contentType("application/json"), R"({"status":"ready"})");
        return true;
    }
    if (request.path == "/metrics" && this->hooks.metricsText) {
        answer.send(200, contentType("text/plain; version=0.0.4"), this->hooks.metricsText());
        return true;
    }
    return false;
}

void RequestFront::process(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer)
{
    const FilteredRequest filtered = filterCredentials(std::move(request));
    if (this->configuration == nullptr)
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("no configuration is known yet"));
    const RequestReader reader(*this->configuration);
    FrontRequest read = reader.read(filtered.request);
    if (!read.open) {
        this->authenticate(read, filtered.presentedKey);
        reader.checkPermission(read.request, read.request.team);
    }
    const bool charged = read.charged && !read.request.team.isEmpty();
    const RequestNumber number = this->open(read, answer);
    if (!charged) {
        this->askOwner(number);
        return;
    }
    this->admission.admit(read.request.team,
                          [this, number, token = this->alive](const AdmissionDecision &decision) {
                              if (*token)
                                  this->admitted(number, decision);
                          });
}

void RequestFront::authenticate(FrontRequest &read, const QByteArray &presentedKey) const
{
    if (presentedKey.isEmpty())
        throw LacewingmuxError(ErrorKind::Unauthenticated,
                               QStringLiteral("no key came with the request"));
    const AuthenticationResult result = this->hooks.authenticate(presentedKey);
    if (!result.accepted)
        throw LacewingmuxError(result.refusal, result.refusal == ErrorKind::KeyWithdrawn
                                                       ? QStringLiteral("the key was withdrawn")
                                                       : QStringLiteral("the key is not valid"));
    read.request.team = result.team;
    read.request.keyId = result.keyId;
}

RequestFront::RequestNumber RequestFront::open(const FrontRequest &read,
                                               const std::shared_ptr<CallerAnswer> &answer)
{
    const RequestNumber number = this->nextNumber++;
    OpenRequest opened(read.request, AnswerRelay(answer, read.request.stream));
    opened.started = this->timers.now();
    this->openRequests.emplace(number, std::move(opened));
    answer->setCallerGoneHandler([this, number] { this->callerGone(number); });
    this->metrics.set("lacewingmux_open_requests", {},
                      static_cast<double>(this->openRequests.size()));
    return number;
}

void RequestFront::admitted(RequestNumber number, const AdmissionDecision &decision)
{
    if (this->find(number) == nullptr)
        return;
    if (decision.admitted) {
        this->askOwner(number);
        return;
    }
    this->refuse(number,
                 LacewingmuxError(decision.refusal, QStringLiteral("the team's rate is used up"),
                                  Executed::No, decision.retryAfter));
}

void RequestFront::askOwner(RequestNumber number)
{
    const OpenRequest *request = this->find(number);
    // A copy: the owner may answer before handle() returns, which forgets the open request.
    const OwnerRequest asked = request->request;
    const OwnerRequestHandle handle = this->owner.handle(asked, this->sinkFor(number));
    this->sent.add(asked);
    if (OpenRequest *still = this->find(number))
        still->handle = handle;
}

ResponseSink RequestFront::sinkFor(RequestNumber number)
{
    ResponseSink sink;
    sink.begin = [this, number, token = this->alive](int status,
                                                     const std::vector<HttpHeader> &headers) {
        if (OpenRequest *request = *token ? this->find(number) : nullptr)
            request->relay.begin(status, headers);
    };
    sink.chunk = [this, number, token = this->alive](const QByteArray &bytes) {
        if (OpenRequest *request = *token ? this->find(number) : nullptr)
            request->relay.chunk(bytes);
    };
    sink.end = [this, number, token = this->alive] {
        if (*token)
            this->end(number);
    };
    sink.fail = [this, number, token = this->alive](const LacewingmuxError &error) {
        if (*token)
            this->fail(number, error);
    };
    return sink;
}

void RequestFront::callerGone(RequestNumber number)
{
    const auto node = this->openRequests.extract(number);
    if (!node.empty() && node.mapped().handle)
        this->owner.callerGone(*node.mapped().handle);
}

void RequestFront::end(RequestNumber number)
{
    auto node = this->openRequests.extract(number);
    if (node.empty())
        return;
    node.mapped().relay.end();
    this->recordEnd(node.mapped());
}

void RequestFront::fail(RequestNumber number, const LacewingmuxError &error)
{
    auto node = this->openRequests.extract(number);
    if (node.empty())
        return;
    node.mapped().relay.fail(error);
    this->metrics.count(
            "lacewingmux_refusals_total",
            {{QStringLiteral("kind"), QString::fromLatin1(answerFor(error.kind()).name)}}, 1);
    this->recordEnd(node.mapped());
}

void RequestFront::refuse(RequestNumber number, const LacewingmuxError &error)
{
    const OpenRequest *request = this->find(number);
    if (request == nullptr)
        return;
    const std::optional<OwnerRequestHandle> handle = request->handle;
    const bool mayHaveRun = handle.has_value() || this->sent.contains(request->request);
    this->fail(number, LacewingmuxError(error.kind(), error.message(),
                                        mayHaveRun ? Executed::Unknown : error.executed(),
                                        error.retryAfter()));
    if (handle)
        this->owner.callerGone(*handle);
}

void RequestFront::enforceTimeouts()
{
    const auto now = this->timers.now();
    std::vector<RequestNumber> overdue;
    for (const auto &[number, request] : this->openRequests) {
        if (now - request.started > request.request.timeout + ownerGrace)
            overdue.push_back(number);
    }
    for (const RequestNumber number : overdue)
        this->refuse(number, LacewingmuxError(ErrorKind::BackendTimeout,
                                              QStringLiteral("no answer came in time")));
}

void RequestFront::recordEnd(const OpenRequest &request)
{
    const int status = request.relay.httpStatus();
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(this->timers.now()
                                                                                - request.started);
    const MetricLabel team{QStringLiteral("team"), request.request.team};
    const MetricLabel route{QStringLiteral("route"), request.request.route};
    this->metrics.count("lacewingmux_requests_total",
                        {team, route, {QStringLiteral("status"), QString::number(status)}}, 1);
    this->metrics.observe("lacewingmux_request_duration_seconds", {team, route}, duration);
    if (this->hooks.served)
        this->hooks.served({request.request.team, request.request.route,
                            status >= firstServerErrorStatus,
                            std::chrono::duration_cast<std::chrono::milliseconds>(duration),
                            this->timers.wallNow()});
}

RequestFront::OpenRequest *RequestFront::find(RequestNumber number)
{
    const auto found = this->openRequests.find(number);
    return found == this->openRequests.end() ? nullptr : &found->second;
}

} // namespace lacewingmux
