#pragma once

#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "loops/EventLoop.h"
#include "platform/HttpDialect.h"
#include "replica/RawCaller.h"
#include "replica/ScriptedReplica.h"

#include <QByteArray>

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/** A quota that admits all requests of the team "team" or none, as the test selects, and those in
    any other name at the rate that they state. */
class ToggledQuota final : public TeamQuota
{
public:
    void take(const QuotaRequest &request, Callback callback) override;
    void refund(const QuotaRequest &request) override;

    bool open = true;
    std::map<QByteArray, double> rateTokens; ///< by name; below 1 if the next request has to wait
    int taken = 0;
    int refunded = 0;

private:
    [[nodiscard]] QuotaDecision takeAtRate(const GatewayTeam &holder);

    std::map<QByteArray, std::chrono::steady_clock::time_point> refilled; ///< by name
};

/** A turn store that gives the responses set by the test and records its calls. */
class ScriptedTurnStore final : public TurnStore
{
public:
    void open(const TurnRequest &turn, AdmissionCallback callback) override;
    void store(const TurnRequest &turn, const QByteArray &input, const QByteArray &output,
               std::int64_t tokens, StoredCallback callback) override;
    void settle(const TurnRequest &turn, std::int64_t tokens) override;

    TurnAdmission admission{TurnOutcome::Ready, {}, std::chrono::milliseconds(0)};
    std::vector<TurnRequest> openedTurns;
    std::vector<std::int64_t> settlements;
    QByteArray storedInput;
    QByteArray storedOutput;
    StoredCallback pendingStore; ///< called by the test
};

/** A gateway with scripted replicas and one route of each kind. */
class GatewayFixture
{
public:
    /** Creates the given number of replicas, all with the same handler. */
    GatewayFixture(int replicaCount, const ScriptedReplica::Handler &handler,
                   const CallDialect &dialect = platformDialect());

    /** Returns a request with the given path and id, and additional header fields. */
    [[nodiscard]] static QByteArray request(const QByteArray &method, const QByteArray &path,
                                            const QByteArray &id, const QByteArray &fields = {},
                                            const QByteArray &body = {});

    /** Returns a complete and valid response to the request, with additional header fields. */
    [[nodiscard]] static QByteArray answer(const HttpRequest &request, const QByteArray &body,
                                           const QByteArray &fields = {});

    /** Returns the head of a streamed response to the request. */
    [[nodiscard]] static QByteArray streamHead(const HttpRequest &request);

    /** Returns one event as a chunk. */
    [[nodiscard]] static QByteArray event(int id, const QByteArray &data);

    /** Makes the service of all routes a model engine. */
    void useEngine();

    /** Gives all routes the timeout, for calls that arrive from now on. */
    void useTimeout(std::chrono::milliseconds timeout);

    /** Returns the number of requests that all replicas have received. */
    [[nodiscard]] int requestCount() const;

    /** How long a replica that is leaving gets calls that no other replica can take. */
    static constexpr std::chrono::milliseconds drainLimit{300};

    /** Bytes that the unfinished responses of all calls may take together. */
    static constexpr qsizetype bufferedResponseLimit = qsizetype{4} * 1024 * 1024;

    /** The secret of the deployment, for tunnels. */
    static constexpr const char *tunnelSecret = "secret";

    EventLoop loop;
    HistogramMetrics metrics;
    ToggledQuota quota;
    ScriptedTurnStore turnStore;
    std::vector<std::unique_ptr<ScriptedReplica>> replicas;
    std::vector<ReplicaInstance> instances; ///< as registered at the start
    std::unique_ptr<Gateway> gateway;
};

} // namespace lacewingmux
