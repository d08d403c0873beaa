#include "lacewingmux_keyvalue/client/StoreAccess.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QUrl>

#include <utility>

namespace lacewingmux {

StoreAccess::StoreAccess(TimerService &timers, MetricsRecorder &metricsRecorder,
                         PlatformStoreSettings storeSettings)
    : timerService(timers)
    , metrics(metricsRecorder)
    , currentSettings(std::move(storeSettings))
    , budget(currentSettings.callsPerSecond, currentSettings.burstCalls, timers.now())
    , generator(currentSettings.jitterSeed)
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

void StoreAccess::noteContact(bool answered)
{
    if (answered)
        this->lastAnswer = this->timerService.now();
    if (std::exchange(this->reachable, answered) == answered)
        return;
    if (this->currentSettings.contactChanged)
        this->currentSettings.contactChanged(answered);
    if (!answered)
        return;
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
