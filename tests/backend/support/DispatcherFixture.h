#pragma once

#include "engine/library/EngineStandin.h"
#include "lacewingmux_allowance/admission/PowerBudget.h"
#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "loops/EventLoop.h"
#include "service/library/ServiceStandin.h"

#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The callbacks received for one dispatched call. */
struct ObservedCall
{
    DispatchHandle handle = 0;
    std::vector<QString> startedAt;
    QByteArray chunks;
    std::optional<DispatchResult> result;
    int results = 0;
};

/** A dispatcher whose replicas are stand-ins in the process of the test. */
class DispatcherFixture
{
public:
    explicit DispatcherFixture(PowerBudget *power = nullptr);
    DispatcherFixture(const DispatcherFixture &) = delete;
    DispatcherFixture &operator=(const DispatcherFixture &) = delete;

    /** Starts an engine on the route "chat". Engines are named e0, e1 and so on. */
    standin::EngineStandin &addEngine(const standin::EngineSettings &settings = {});

    /** Starts a service on the route "book". Services are named s0, s1 and so on. */
    standin::ServiceStandin &addService();

    /** Adds a server as an engine of the route "chat" with the given name. */
    void addEngineAt(const QString &name, std::uint16_t port)
    {
        this->addReplica(name, port, QStringLiteral("chat"), RouteKind::ModelEngine);
    }

    /** Passes the current snapshots of the replicas to the dispatcher. */
    void adopt();

    /** Returns the snapshot of a replica. Changes take effect with the next adopt(). */
    ReplicaSnapshot &replica(const QString &name);

    static DispatchRequest chat(const QString &requestId, const QString &text,
                                const QString &program = QString());
    static DispatchRequest booking(const QString &requestId);

    /** Dispatches a call and records its callbacks. */
    ObservedCall &dispatch(const DispatchRequest &request);

    /** Waits for the result of the call and returns it. */
    const DispatchResult &finish(const ObservedCall &call);

    /** If set, stands for the owner that confirms its ownership to the dispatched calls. */
    std::function<void(std::function<void()> send)> confirmOwnership;
    /** If set, called when a call is handed to its replica's client. */
    std::function<void()> callStarted;
    /** How long before the dispatch the owner has decided to run the calls. */
    std::chrono::milliseconds decisionAge{0};

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    std::vector<CrashCoincidence> coincidences;
    ReplicaDispatcher dispatcher;
    std::vector<std::unique_ptr<standin::EngineStandin>> engines;
    std::vector<std::unique_ptr<standin::ServiceStandin>> services;

private:
    void addReplica(const QString &name, std::uint16_t port, const QString &route, RouteKind kind);

    std::vector<ReplicaSnapshot> snapshots;
    std::vector<std::unique_ptr<ObservedCall>> calls;
};

} // namespace lacewingmux
