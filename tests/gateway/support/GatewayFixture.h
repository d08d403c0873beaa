#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "loops/EventLoop.h"
#include "replica/RawCaller.h"
#include "replica/ScriptedReplica.h"

#include <QByteArray>

#include <memory>
#include <vector>

namespace lacewingmux {

/** A quota that the test opens and closes. */
class SwitchedQuota final : public TeamQuota
{
public:
    void take(const QuotaRequest &request, Callback callback) override;
    void refund(const QuotaRequest &request) override;

    bool open = true;
    int taken = 0;
    int givenBack = 0;
};

/** A ledger whose answers the test sets, and which notes what it is told. */
class ScriptedLedger final : public TurnStore
{
public:
    void open(const TurnRequest &opening, AdmissionCallback callback) override;
    void store(const TurnRequest &opening, const QByteArray &input, const QByteArray &output,
               std::int64_t tokens, StoredCallback callback) override;
    void settle(const TurnRequest &opening, std::int64_t tokens) override;

    TurnAdmission start{TurnOutcome::Ready, {}, std::chrono::milliseconds(0)};
    std::vector<TurnRequest> openings;
    std::vector<std::int64_t> settlements;
    QByteArray storedInput;
    QByteArray storedOutput;
    StoredCallback pendingStore; ///< called by the test
};

/** A gateway before scripted replicas, with one route of each kind. */
class GatewayFixture
{
public:
    /** Makes so many replicas that answer alike. */
    GatewayFixture(int replicaCount, const ScriptedReplica::Handler &handler);

    /** Returns a request of the given path and id, with more header fields. */
    [[nodiscard]] static QByteArray request(const QByteArray &method, const QByteArray &path,
                                            const QByteArray &id, const QByteArray &fields = {},
                                            const QByteArray &body = {});

    /** Returns a whole answer to the request, as a sound replica gives it. */
    [[nodiscard]] static QByteArray answer(const HttpRequest &request, const QByteArray &body);

    /** Returns the start of a stream that answers the request. */
    [[nodiscard]] static QByteArray streamHead(const HttpRequest &request);

    /** Returns one event as a chunk. */
    [[nodiscard]] static QByteArray event(int id, const QByteArray &data);

    /** Returns how many requests all replicas were sent. */
    [[nodiscard]] int requestCount() const;

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    SwitchedQuota quota;
    ScriptedLedger ledger;
    std::vector<std::unique_ptr<ScriptedReplica>> replicas;
    std::unique_ptr<Gateway> gateway;
};

} // namespace lacewingmux
