#include "engine/library/EngineStandin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUuid>

#include <algorithm>
#include <utility>

namespace lacewingmux::standin {

namespace {

constexpr std::size_t maxRecentSequences = 512;
constexpr std::size_t maxRecentHeads = 4096;

QStringList promptTokens(const QJsonObject &body)
{
    QStringList tokens;
    const QJsonArray messages = body.value(QStringLiteral("messages")).toArray();
    for (const auto &message : messages) {
        const QString content = message.toObject().value(QStringLiteral("content")).toString();
        tokens += content.simplified().split(QLatin1Char(' '), Qt::SkipEmptyParts);
    }
    return tokens;
}

QJsonObject usageOf(const Sequence &sequence)
{
    const qint64 promptCount = sequence.prompt.size();
    const qint64 outputCount = sequence.output.size();
    const QJsonObject details{
            {QStringLiteral("cached_tokens"), static_cast<qint64>(sequence.cachedTokens)}};
    return QJsonObject{{QStringLiteral("prompt_tokens"), promptCount},
                       {QStringLiteral("completion_tokens"), outputCount},
                       {QStringLiteral("total_tokens"), promptCount + outputCount},
                       {QStringLiteral("prompt_tokens_details"), details}};
}

QJsonObject wholeAnswer(const Sequence &sequence)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("assistant")},
                              {QStringLiteral("content"), sequence.output.join(QLatin1Char(' '))}};
    const QJsonObject choice{{QStringLiteral("index"), 0},
                             {QStringLiteral("message"), message},
                             {QStringLiteral("finish_reason"), QStringLiteral("stop")}};
    return QJsonObject{{QStringLiteral("id"), sequence.requestId},
                       {QStringLiteral("object"), QStringLiteral("chat.completion")},
                       {QStringLiteral("choices"), QJsonArray{choice}},
                       {QStringLiteral("usage"), usageOf(sequence)}};
}

void sendAnswer(const Sequence &sequence, StandinExchange &exchange)
{
    exchange.addHeader("Lacewingmux-Request-Id", sequence.requestId.toUtf8());
    exchange.answer(200, wholeAnswer(sequence));
}

QByteArray chunkOf(const Sequence &sequence, qint64 index)
{
    const QString text = (index == 0 ? QString() : QStringLiteral(" ")) + sequence.output.at(index);
    const QJsonObject choice{
            {QStringLiteral("index"), 0},
            {QStringLiteral("delta"), QJsonObject{{QStringLiteral("content"), text}}}};
    const QJsonObject chunk{{QStringLiteral("id"), sequence.requestId},
                            {QStringLiteral("object"), QStringLiteral("chat.completion.chunk")},
                            {QStringLiteral("sequence"), index},
                            {QStringLiteral("choices"), QJsonArray{choice}}};
    return QJsonDocument(chunk).toJson(QJsonDocument::Compact);
}

QByteArray lastChunkOf(const Sequence &sequence)
{
    const QJsonObject chunk{{QStringLiteral("id"), sequence.requestId},
                            {QStringLiteral("object"), QStringLiteral("chat.completion.chunk")},
                            {QStringLiteral("choices"), QJsonArray()},
                            {QStringLiteral("usage"), usageOf(sequence)}};
    return QJsonDocument(chunk).toJson(QJsonDocument::Compact);
}

} // namespace

EngineStandin::EngineStandin(const EngineSettings &engineSettings, std::function<void()> onCrash)
    : settings(engineSettings)
    , crashAction(std::move(onCrash))
    , cache(engineSettings.cacheTokens)
    , cacheEvents(engineSettings.cacheEventLag, engineSettings.cacheEventGap)
    , orders(engineSettings.checksFencing)
    , batch(engineSettings, this->cache)
    , server([this](const StandinRequest &request, const Exchange &exchange) {
        this->handle(request, exchange);
    })
{
    QObject::connect(&this->loadTimer, &QTimer::timeout, &this->loadTimer,
                     [this] { this->sampleLoad(); });
}

std::uint16_t EngineStandin::start(std::uint16_t port)
{
    this->instance = QUuid::createUuid().toString(QUuid::WithoutBraces);
    this->sampleLoad();
    this->loadTimer.start(std::max(this->settings.loadLag, std::chrono::milliseconds(1)));
    return this->server.start(port);
}

void EngineStandin::crash()
{
    this->server.crash();
    this->batch.clear();
}

void EngineStandin::setFaults(const EngineFaults &newFaults)
{
    this->faults = newFaults;
    this->batch.setSlowFactor(newFaults.slowFactor);
    this->batch.setHanging(newFaults.hang);
}

int EngineStandin::runs(const QString &requestId) const
{
    return this->runsById.value(requestId);
}

int EngineStandin::totalRuns() const
{
    int total = 0;
    for (const int count : this->runsById)
        total += count;
    return total;
}

std::int64_t EngineStandin::tokensHeldBy(const QString &program) const
{
    return this->cache.tokensByProgram().value(program);
}

bool EngineStandin::hasSeen(const QByteArray &text) const
{
    return std::any_of(this->recentHeads.begin(), this->recentHeads.end(),
                       [&text](const QByteArray &head) { return head.contains(text); });
}

QJsonObject EngineStandin::state() const
{
    QJsonObject counts;
    for (auto entry = this->runsById.begin(); entry != this->runsById.end(); ++entry)
        counts.insert(entry.key(), entry.value());
    QJsonObject memory;
    const auto tokens = this->cache.tokensByProgram();
    for (auto entry = tokens.begin(); entry != tokens.end(); ++entry)
        memory.insert(entry.key(), static_cast<qint64>(entry.value()));
    return QJsonObject{{QStringLiteral("runs"), counts},
                       {QStringLiteral("cachedTokensByProgram"), memory},
                       {QStringLiteral("loaded"), this->orders.toJson()}};
}

void EngineStandin::handle(const StandinRequest &request, const Exchange &exchange)
{
    this->remember(request);
    const QString &path = request.path;
    const bool concernsSequence = path.endsWith(QStringLiteral("/completions"))
                                  || path.endsWith(QStringLiteral("/stream"));
    if (!concernsSequence && !request.requestId().isEmpty())
        exchange->addHeader("Lacewingmux-Request-Id", request.requestId().toUtf8());
    if (path == QStringLiteral("/v1/chat/completions")) {
        this->complete(request, exchange);
    } else if (path == QStringLiteral("/v1/load")) {
        ++this->loadReadCount;
        exchange->answer(200, this->publishedLoad);
    } else if (path == QStringLiteral("/v1/cache/events")) {
        const auto after = request.query.queryItemValue(QStringLiteral("after")).toLongLong();
        exchange->answer(200, this->cacheEvents.eventsAfter(after));
    } else if (path == QStringLiteral("/v1/orders")) {
        this->order(request, exchange);
    } else if (path == QStringLiteral("/v1/cache/export")) {
        this->exportCache(request, exchange);
    } else if (path == QStringLiteral("/v1/cache/import")) {
        this->importCache(request, exchange);
    } else if (path == QStringLiteral("/v1/state")) {
        QJsonObject json = this->state();
        const QString text = request.query.queryItemValue(QStringLiteral("contains"));
        if (!text.isEmpty()) {
            // This very request holds the text as well, so it is left out.
            this->recentHeads.pop_back();
            json.insert(QStringLiteral("seen"), this->hasSeen(text.toUtf8()));
        }
        exchange->answer(200, json);
    } else if (path == QStringLiteral("/v1/standin/faults")) {
        this->setFaults(EngineFaults::fromJson(request.json()));
        exchange->answer(200, QJsonObject());
    } else {
        this->handleRequestPath(request, exchange);
    }
}

void EngineStandin::handleRequestPath(const StandinRequest &request, const Exchange &exchange)
{
    const QStringList parts = request.path.split(QLatin1Char('/'), Qt::SkipEmptyParts);
    const bool isRequest = parts.size() == 4 && parts[1] == QStringLiteral("requests");
    if (isRequest && parts[3] == QStringLiteral("cancel")) {
        const bool cancelled = this->batch.cancel(parts[2]);
        exchange->answer(200, QJsonObject{{QStringLiteral("cancelled"), cancelled}});
    } else if (isRequest && parts[3] == QStringLiteral("stream")) {
        this->resume(parts[2], request, exchange);
    } else {
        exchange->answer(404, QJsonObject());
    }
}

void EngineStandin::remember(const StandinRequest &request)
{
    QByteArray head =
            request.path.toUtf8() + '?' + request.query.toString(QUrl::FullyDecoded).toUtf8();
    for (const auto &field : request.headers)
        head += '\n' + field.first + ": " + field.second;
    this->recentHeads.push_back(head);
    if (this->recentHeads.size() > maxRecentHeads)
        this->recentHeads.pop_front();
}

void EngineStandin::complete(const StandinRequest &request, const Exchange &exchange)
{
    const QJsonObject body = request.json();
    if (!body.value(QStringLiteral("messages")).isArray()) {
        exchange->answer(400, QJsonObject{{QStringLiteral("error"), QStringLiteral("messages")}});
        return;
    }
    const auto sequence = std::make_shared<Sequence>();
    sequence->requestId = request.requestId();
    sequence->program = QString::fromUtf8(request.header("Lacewingmux-Program"));
    sequence->priority = request.header("Lacewingmux-Priority").toInt();
    sequence->prompt = promptTokens(body);
    sequence->blocks = PrefixCache::blocksOf(sequence->prompt);
    const auto limit =
            body.value(QStringLiteral("max_tokens")).toInteger(this->settings.defaultOutputTokens);
    sequence->outputTokens = std::clamp<qint64>(limit, 1, this->settings.defaultOutputTokens);
    if (!sequence->program.isEmpty() && this->endedPrograms.contains(sequence->program)) {
        exchange->answer(410, QJsonObject{{QStringLiteral("error"), QStringLiteral("ended")}});
        return;
    }
    ++this->runsById[sequence->requestId];
    this->keep(sequence);

    if (!this->faults.crashOnText.isEmpty()
        && request.body.contains(this->faults.crashOnText.toUtf8())) {
        this->crash();
        if (this->crashAction)
            this->crashAction();
        return;
    }
    if (body.value(QStringLiteral("stream")).toBool())
        this->stream(sequence, exchange, 0);
    else
        this->answerWhole(sequence, exchange);
    this->batch.add(sequence);
}

void EngineStandin::stream(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange,
                           std::int64_t firstToken)
{
    exchange->addHeader("Lacewingmux-Request-Id", sequence->requestId.toUtf8());
    exchange->beginEvents();
    // Weak, or the sequence would keep itself alive through its own functions.
    const std::weak_ptr<Sequence> weak = sequence;
    auto next = std::make_shared<qint64>(firstToken);
    const auto sendNew = [this, weak, exchange, next] {
        const auto current = weak.lock();
        while (current && *next < current->output.size()) {
            if (this->faults.cutAfterTokens > 0 && *next >= this->faults.cutAfterTokens) {
                exchange->abort();
                return;
            }
            exchange->event(chunkOf(*current, (*next)++));
        }
    };
    const auto sendEnd = [this, weak, exchange] {
        const auto current = weak.lock();
        if (!current)
            return;
        if (this->faults.loseAnswer || current->cancelled) {
            exchange->abort();
            return;
        }
        this->cacheEvents.add(QStringLiteral("stored"), current->program, current->prompt.size());
        exchange->event(lastChunkOf(*current));
        exchange->event("[DONE]");
        exchange->endEvents();
    };
    sequence->tokenProduced = sendNew;
    sequence->ended = sendEnd;
    sendNew();
    if (sequence->finished)
        sendEnd();
}

void EngineStandin::answerWhole(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange)
{
    const std::weak_ptr<Sequence> weak = sequence;
    sequence->tokenProduced = [] {};
    sequence->ended = [this, weak, exchange] {
        const auto current = weak.lock();
        if (!current)
            return;
        if (this->faults.loseAnswer || current->cancelled) {
            exchange->abort();
            return;
        }
        this->cacheEvents.add(QStringLiteral("stored"), current->program, current->prompt.size());
        QTimer::singleShot(this->faults.delay, &this->server,
                           [this, current, exchange] { this->sendWhole(current, exchange); });
    };
}

void EngineStandin::sendWhole(const std::shared_ptr<Sequence> &sequence, const Exchange &exchange)
{
    if (this->faults.swapAnswers && !this->swapSequence) {
        this->swapSequence = sequence;
        this->swapExchange = exchange;
        return;
    }
    if (this->faults.swapAnswers) {
        const auto other = std::exchange(this->swapSequence, nullptr);
        sendAnswer(*sequence, *std::exchange(this->swapExchange, nullptr));
        sendAnswer(*other, *exchange);
        return;
    }
    sendAnswer(*sequence, *exchange);
    if (this->faults.duplicateAnswer)
        exchange->answer(200, wholeAnswer(*sequence));
}

void EngineStandin::keep(const std::shared_ptr<Sequence> &sequence)
{
    this->recent.push_back(sequence);
    if (this->recent.size() > maxRecentSequences)
        this->recent.pop_front();
}

void EngineStandin::resume(const QString &requestId, const StandinRequest &request,
                           const Exchange &exchange)
{
    const auto found = std::find_if(
            this->recent.rbegin(), this->recent.rend(),
            [&requestId](const auto &sequence) { return sequence->requestId == requestId; });
    if (found == this->recent.rend()) {
        exchange->answer(404, QJsonObject());
        return;
    }
    const auto after = request.query.queryItemValue(QStringLiteral("after")).toLongLong();
    this->stream(*found, exchange, after);
}

void EngineStandin::order(const StandinRequest &request, const Exchange &exchange)
{
    if (this->faults.failOrders > 0) {
        --this->faults.failOrders;
        exchange->answer(500, QJsonObject());
        return;
    }
    const QJsonObject json = request.json();
    if (!this->orders.accept(json)) {
        exchange->answer(409, QJsonObject{{QStringLiteral("error"), QStringLiteral("fenced")}});
        return;
    }
    this->orderAboutProgram(json.value(QStringLiteral("order")).toString(),
                            json.value(QStringLiteral("program")).toString());
    if (this->faults.loseOrderAnswers > 0) {
        --this->faults.loseOrderAnswers;
        exchange->abort();
        return;
    }
    exchange->answer(200, QJsonObject{{QStringLiteral("done"), true}});
}

void EngineStandin::orderAboutProgram(const QString &kind, const QString &program)
{
    const bool ends = kind == QStringLiteral("endProgram");
    if (!ends && kind != QStringLiteral("dropCache"))
        return;
    if (ends) {
        this->endedPrograms.insert(program);
        this->batch.cancelProgram(program);
    }
    const std::int64_t freed = this->cache.release(program);
    this->cacheEvents.add(QStringLiteral("released"), program, freed);
}

void EngineStandin::exportCache(const StandinRequest &request, const Exchange &exchange) const
{
    const QString program = request.json().value(QStringLiteral("program")).toString();
    QJsonArray blocks;
    for (const std::uint64_t block : this->cache.blocksHeldBy(program))
        blocks.append(QString::number(block, 16));
    exchange->answer(200, QJsonObject{{QStringLiteral("program"), program},
                                      {QStringLiteral("blocks"), blocks}});
}

void EngineStandin::importCache(const StandinRequest &request, const Exchange &exchange)
{
    const QJsonObject json = request.json();
    std::vector<std::uint64_t> blocks;
    const QJsonArray list = json.value(QStringLiteral("blocks")).toArray();
    for (const auto &block : list)
        blocks.push_back(block.toString().toULongLong(nullptr, 16));
    this->cache.store(json.value(QStringLiteral("program")).toString(), blocks);
    exchange->answer(200, QJsonObject{{QStringLiteral("done"), true}});
}

void EngineStandin::sampleLoad()
{
    this->publishedLoad = QJsonObject{
            {QStringLiteral("instance"), this->instance},
            {QStringLiteral("running"), this->batch.running()},
            {QStringLiteral("waiting"), this->batch.waiting()},
            {QStringLiteral("cachedTokens"), static_cast<qint64>(this->cache.totalTokens())},
            {QStringLiteral("cacheCapacityTokens"),
             static_cast<qint64>(this->settings.cacheTokens)}};
}

} // namespace lacewingmux::standin
