#pragma once

#include "engine/library/CacheEventFeed.h"
#include "engine/library/ContinuousBatch.h"
#include "engine/library/EngineFaults.h"
#include "engine/library/EngineOrders.h"
#include "engine/library/EngineSettings.h"
#include "engine/library/PrefixCache.h"
#include "engine/library/Sequence.h"
#include "server/StandinServer.h"

#include <QHash>
#include <QSet>

#include <deque>
#include <functional>
#include <memory>

namespace lacewingmux::standin {

/**
    A model engine on loopback: chat completions by continuous batching over a prefix cache, with
    the calls and the faults that the README lists. Its text is made up, its counts are real.
*/
class EngineStandin
{
public:
    /** Takes what to do when a prompt crashes the engine; the program exits the process. */
    explicit EngineStandin(const EngineSettings &engineSettings = EngineSettings(),
                           std::function<void()> onCrash = nullptr);
    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    /** Listens on the port, 0 for any; returns the port, or 0 when it can't be had. */
    [[nodiscard]] std::uint16_t start(std::uint16_t port);

    /** Stops as a killed process does: connections are cut, and new ones refused. */
    void crash();

    /** Sets what goes wrong from now on. */
    void setFaults(const EngineFaults &newFaults);

    /** Returns how often requests with the id were taken in. */
    [[nodiscard]] int runs(const QString &requestId) const;

    /** Returns how many requests were taken in altogether. */
    [[nodiscard]] int totalRuns() const;

    /** Returns how often the load was read. */
    [[nodiscard]] int loadReads() const noexcept
    {
        return this->loadReadCount;
    }

    /** Returns the cached tokens that the program holds. */
    [[nodiscard]] std::int64_t tokensHeldBy(const QString &program) const;

    /** Tells whether the text was in the path, query or headers of any recent request. */
    [[nodiscard]] bool hasSeen(const QByteArray &text) const;

    /** Returns what GET /v1/state shows. */
    [[nodiscard]] QJsonObject state() const;

private:
    using Exchange = std::shared_ptr<StandinExchange>;

    void handle(const StandinRequest &request, const Exchange &exchange);
    void handleRequestPath(const StandinRequest &request, const Exchange &exchange);
    void remember(const StandinRequest &request);
    void complete(const StandinRequest &request, const Exchange &exchange);
    void stream(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange,
                std::int64_t firstToken);
    void answerWhole(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange);
    void sendWhole(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange);
    void keep(const std::shared_ptr<Sequence> &sequence);
    void resume(const QString &requestId, const StandinRequest &request, const Exchange &exchange);
    void order(const StandinRequest &request, const Exchange &exchange);
    void orderAboutProgram(const QString &kind, const QString &program);
    void exportCache(const StandinRequest &request, const Exchange &exchange) const;
    void importCache(const StandinRequest &request, const Exchange &exchange);
    void sampleLoad();

    EngineSettings settings;
    std::function<void()> crashAction;
    EngineFaults faults;
    PrefixCache cache;
    CacheEventFeed cacheEvents;
    EngineOrders orders;
    ContinuousBatch batch;
    StandinServer server;
    QTimer loadTimer;
    QJsonObject publishedLoad;
    QString instance; ///< names this start of the engine
    QHash<QString, int> runsById;
    int loadReadCount = 0;
    QSet<QString> endedPrograms;
    std::deque<std::shared_ptr<Sequence>> recent;
    std::deque<QByteArray> recentHeads;
    std::shared_ptr<Sequence> swapSequence;
    Exchange swapExchange;
};

} // namespace lacewingmux::standin
