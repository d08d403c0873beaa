#pragma once

#include "server/StandinServer.h"
#include "service/library/ServiceFaults.h"

#include <QJsonArray>

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux::standin {

/**
    A plain service that counts what it runs. Every request outside /v1/standin/ is run: it is
    recorded with its id and body, and answered with the number of runs that id has had so far.
    It never deduplicates, so that a second run of the same request shows.
*/
class ServiceStandin
{
public:
    /** Takes what to do when a request crashes the service; the program exits the process. */
    explicit ServiceStandin(std::function<void()> onCrash = nullptr);
    ServiceStandin(const ServiceStandin &) = delete;
    ServiceStandin &operator=(const ServiceStandin &) = delete;

    /** Listens on the port, 0 for any; returns the port, or 0 when it can't be had. */
    [[nodiscard]] std::uint16_t start(std::uint16_t port);

    /** Stops as a killed process does: connections are cut, and new ones refused. */
    void crash();

    /** Sets what goes wrong from now on. */
    void setFaults(const ServiceFaults &newFaults);

    /** Returns how often requests with the id were run. */
    [[nodiscard]] int runs(const QString &requestId) const;

    /** Returns how many requests were run in all. */
    [[nodiscard]] int totalRuns() const;

private:
    struct Run
    {
        QString requestId;
        QByteArray method;
        QString path;
        QByteArray body;
        qint64 startedMilliseconds; ///< since the Unix epoch
    };

    void handle(const StandinRequest &request, const std::shared_ptr<StandinExchange> &exchange);
    void handleControl(const StandinRequest &request, StandinExchange &exchange);
    void run(const StandinRequest &request, const std::shared_ptr<StandinExchange> &exchange);
    void answer(const QString &requestId, int count, const QByteArray &requestBody,
                StandinExchange &exchange) const;
    [[nodiscard]] QJsonArray runsToJson() const;

    std::function<void()> crashAction;
    StandinServer server;
    ServiceFaults faults;
    std::vector<Run> recordedRuns;
};

} // namespace lacewingmux::standin
