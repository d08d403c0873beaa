#include "lacewingmux_backend/clients/ReplicaProbe.h"

#include "lacewingmux_backend/clients/HttpExchange.h"
#include "lacewingmux_backend/replicas/ReplicaRecord.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux {

namespace {

ProbeResult resultOf(const BackendResponse &response)
{
    if (response.failure == BackendFailure::NotSent)
        return {ProbeOutcome::Refused, {}};
    if (!response.completed())
        return {ProbeOutcome::NoResponse, {}};
    const QJsonObject json = QJsonDocument::fromJson(response.body).object();
    return {ProbeOutcome::Alive, json.value(QStringLiteral("instance")).toString()};
}

} // namespace

ReplicaProbe::ReplicaProbe(ConnectionPool &connections, TimerService &timers,
                           const ReplicaRecord &replica, std::chrono::milliseconds timeout,
                           std::function<void(const ProbeResult &)> callback)
{
    BackendCall call;
    call.server = replica.url;
    call.method = "GET";
    call.path = replica.kind == RouteKind::ModelEngine ? "/v1/load" : "/healthz";
    call.timeout = timeout;
    call.maxResponseBytes = std::int64_t{64} * 1024;
    BackendRunListener listener;
    listener.finished = [callback = std::move(callback)](const BackendResponse &response) {
        callback(resultOf(response));
    };
    this->exchange = std::make_unique<HttpExchange>(connections, timers, call, std::move(listener));
}

ReplicaProbe::~ReplicaProbe() = default;

} // namespace lacewingmux
