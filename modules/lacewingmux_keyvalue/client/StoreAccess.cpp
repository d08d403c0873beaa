#include "lacewingmux_keyvalue/client/StoreAccess.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QUrl>

#include <utility>

namespace lacewingmux {

namespace {

// If the store only rejected calls for less than this, its connections are intact, and polls that
// wait for a change will get their replies.
constexpr std::chrono::milliseconds longestRejectionOfConnectedStore{1000};

} // namespace

StoreAccess::StoreAccess(TimerService &timers, MetricsRecorder &metricsRecorder,
                         PlatformStoreSettings storeSettings)
    : timerService(timers)
    , metrics(metricsRecorder)
    , currentSettings(std::move(storeSettings))
    , budget(currentSettings.callsPerSecond, currentSettings.burstCalls, timers.now())
    , generator(currentSettings.jitterSeed)
    , probeQueue(timers, [this] { return this->random(); })
{
    if (this->currentSettings.endpoints.empty()) {
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("the platform's store has no endpoint"));
    }
}

bool StoreAccess::takeCall(CallPriority priority, const char *path)
{
    const bool taken = this->budget.tryTake(priority, this->timerService.now());
    const std::vector<MetricLabel> labels{{QStringLiteral("path"), QString::fromLatin1(path)}};
    this->metrics.count(taken ? "lacewingmux_platform_calls_total"
                              : "lacewingmux_platform_calls_over_budget_total",
                        labels, 1);
    return taken;
}

QNetworkRequest StoreAccess::request(const char *path, const QUrlQuery &query) const
{
    QUrl url = this->currentSettings.endpoints[this->currentEndpoint];
    url.setPath(QString::fromLatin1(path));
    if (!query.isEmpty())
        url.setQuery(query);
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setHeader(QNetworkRequest::UserAgentHeader, this->currentSettings.clientName);
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    return request;
}

void StoreAccess::reportFailure(std::size_t failedEndpoint)
{
    if (failedEndpoint == this->currentEndpoint)
        this->currentEndpoint = (failedEndpoint + 1) % this->currentSettings.endpoints.size();
}

void StoreAccess::noteResult(int status, bool answered)
{
    this->countOutageCall(status, answered);
    if (answered)
        this->lastAnswer = this->timerService.now();
    if (!answered && this->reachable) {
        this->probeQueue.restartAfterFailure();
        this->hadUnansweredCall = false;
        this->setReachable(false);
    }
    this->hadUnansweredCall = this->hadUnansweredCall || status == 0;
    if (!answered || this->reachable)
        return;
    this->setReachable(true);
    this->callRecoveryHooks();
}

void StoreAccess::assumeUnreachable()
{
    this->probeQueue.restartNow();
    this->hadUnansweredCall = true;
    if (this->reachable)
        this->setReachable(false);
}

bool StoreAccess::mayCallsHang() const
{
    const auto duration = this->outageEnd - this->outageStart;
    return this->hadUnansweredCall || duration > longestRejectionOfConnectedStore;
}

void StoreAccess::setReachable(bool isReachable)
{
    this->reachable = isReachable;
    (isReachable ? this->outageEnd : this->outageStart) = this->timerService.now();
    if (this->currentSettings.contactChanged)
        this->currentSettings.contactChanged(isReachable);
}

void StoreAccess::countOutageCall(int status, bool answered)
{
    if (this->reachable)
        return;
    const char *failure = status == 0 ? "unanswered" : "rejected";
    const QString outcome = QString::fromLatin1(answered ? "answered" : failure);
    this->metrics.count("lacewingmux_platform_outage_calls_total",
                        {{QStringLiteral("outcome"), outcome}}, 1);
}

void StoreAccess::callRecoveryHooks()
{
    std::erase_if(this->recoveryHooks, [](const auto &hook) { return hook.expired(); });
    const auto hooks = this->recoveryHooks; // stays valid if a hook adds another one
    for (const auto &hook : hooks) {
        if (const auto active = hook.lock())
            (*active)();
    }
}

std::shared_ptr<void> StoreAccess::addRecoveryHook(std::function<void()> hook)
{
    auto token = std::make_shared<std::function<void()>>(std::move(hook));
    this->recoveryHooks.push_back(token);
    return token;
}

double StoreAccess::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

} // namespace lacewingmux
