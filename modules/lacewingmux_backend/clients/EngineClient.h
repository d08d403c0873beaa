#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_backend/clients/EngineLoad.h"
#include "lacewingmux_backend/clients/EngineOrder.h"

#include <QJsonObject>
#include <QUrl>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

class ConnectionPool;
class TimerService;

/**
    Speaks to model engines: chat completions, and the calls that docs/ENGINES.md lists. Both
    parameters must outlive it and its runs.

    The small calls run by themselves and call back once; their callback is dropped when the
    client is destroyed first.
*/
class EngineClient
{
public:
    EngineClient(ConnectionPool &connectionPool, TimerService &timerService);
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /** Starts a chat completion; it is sent at most once. */
    [[nodiscard]] std::unique_ptr<BackendRun> start(const BackendCall &call,
                                                    BackendRunListener listener);

    /** Cancels a request by its id, without waiting for the answer. */
    void cancel(const QUrl &server, const QString &requestId);

    /** Gives an order. */
    void issueOrder(const QUrl &server, const EngineOrder &order,
                    std::function<void(OrderOutcome)> callback);

    /** Reads the load; calls back with nothing when the engine does not answer in time. */
    void readLoad(const QUrl &server, std::chrono::milliseconds timeout,
                  std::function<void(std::optional<EngineLoad>)> callback);

    /** Reads a program's cached prefix out of the engine; calls back with nothing on failure. */
    void exportCache(const QUrl &server, const QString &program,
                     std::function<void(std::optional<QByteArray>)> callback);

    /** Puts an exported prefix into an engine. */
    void importCache(const QUrl &server, const QByteArray &exported,
                     std::function<void(bool)> callback);

private:
    struct ControlRequest
    {
        QUrl server;
        QByteArray method;
        QByteArray path;
        QByteArray body;
        std::chrono::milliseconds timeout;
    };

    void sendControlRequest(const ControlRequest &controlRequest,
                            std::function<void(const BackendResponse &)> callback);

    ConnectionPool &connections;
    TimerService &timers;
    std::uint64_t lastRunNumber = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<BackendRun>> runs;
};

} // namespace lacewingmux
