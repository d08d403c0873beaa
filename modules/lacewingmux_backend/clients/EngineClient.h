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
    A client for model engines: chat completions and control requests, which are orders,
    cancellation, load, and cache export and import (see docs/ENGINES.md). Both parameters must
    outlive the client and its runs.

    Every control request is owned by the client and invokes its callback once. The callback is
    discarded when the client is destroyed first.
*/
class EngineClient
{
public:
    EngineClient(ConnectionPool &connectionPool, TimerService &timerService);
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /** Starts a chat completion. It is sent at most once. */
    [[nodiscard]] std::unique_ptr<BackendRun> start(const BackendCall &call,
                                                    BackendRunListener listener);

    /** Cancels a request by its id and ignores the response. */
    void cancel(const QUrl &server, const QString &requestId);

    /** Sends an order and reports its outcome. */
    void issueOrder(const QUrl &server, const EngineOrder &order,
                    std::function<void(OrderOutcome)> callback);

    /** Reads the load. Reports nullopt on failure. */
    void readLoad(const QUrl &server, std::chrono::milliseconds timeout,
                  std::function<void(std::optional<EngineLoad>)> callback);

    /** Exports a program's cached prefix from the engine. Reports nullopt on failure. */
    void exportCache(const QUrl &server, const QString &program,
                     std::function<void(std::optional<QByteArray>)> callback);

    /** Imports an exported prefix into an engine and reports whether it succeeded. */
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
    std::uint64_t lastExchangeNumber = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<BackendRun>> controlExchanges;
};

} // namespace lacewingmux
