#include "platform-store/PlatformStoreStandin.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QUrl>

#include <utility>

namespace lacewingmux::standin {

namespace {

using std::chrono::milliseconds;

QByteArray parameter(const StandinRequest &request, const char *name)
{
    return request.query.queryItemValue(QLatin1String(name), QUrl::FullyDecoded).toUtf8();
}

/** Returns the number behind the last slash of the path. */
std::int64_t pathNumber(const StandinRequest &request)
{
    return request.path.mid(request.path.lastIndexOf(u'/') + 1).toLongLong();
}

} // namespace

PlatformStoreStandin::PlatformStoreStandin(TimerService &timerService)
    : timers(timerService)
    , storeContents(timerService, [this] { this->handleChange(); })
    , server([this](const StandinRequest &request,
                    const std::shared_ptr<StandinExchange> &exchange) {
        this->handle(request, exchange);
    })
{ }

PlatformStoreStandin::~PlatformStoreStandin() = default;

std::uint16_t PlatformStoreStandin::start()
{
    const std::uint16_t port = this->server.start(0);
    if (port == 0)
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("the store's stand-in can't listen"));
    return port;
}

void PlatformStoreStandin::handle(const StandinRequest &request,
                                  const std::shared_ptr<StandinExchange> &exchange)
{
    if (request.path == QLatin1String("/v1/kv-watch")) {
        this->beginWatch(request, exchange);
        return;
    }
    const StoreContents::Reply result = this->reply(request);
    exchange->answer(result.status, result.body);
}

StoreContents::Reply PlatformStoreStandin::reply(const StandinRequest &request)
{
    if (request.path == QLatin1String("/v1/kv-key"))
        return this->storeContents.item(parameter(request, "key"));
    if (request.path == QLatin1String("/v1/kv-range"))
        return this->storeContents.list(parameter(request, "prefix"), parameter(request, "after"));
    if (request.path == QLatin1String("/v1/kv-txn"))
        return this->storeContents.transact(request.json());
    if (request.path == QLatin1String("/v1/kv-lease"))
        return this->storeContents.grantLease(
                milliseconds(request.json().value(QLatin1String("ttlMs")).toInteger()));
    if (request.path.startsWith(QLatin1String("/v1/kv-keep/")))
        return this->storeContents.renewLease(pathNumber(request));
    if (request.path.startsWith(QLatin1String("/v1/kv-lease-end/")))
        return this->storeContents.endLease(pathNumber(request));
    return {404, {}};
}

void PlatformStoreStandin::beginWatch(const StandinRequest &request,
                                      const std::shared_ptr<StandinExchange> &exchange)
{
    auto watch = std::make_shared<Watch>();
    watch->exchange = exchange;
    watch->prefix = parameter(request, "prefix");
    watch->afterRevision = parameter(request, "after").toLongLong();
    if (this->answer(*watch, false))
        return;
    this->watches.push_back(watch);
    watch->limit = this->timers.after(
            milliseconds(parameter(request, "waitMs").toLongLong()), [this, ended = watch.get()] {
                this->answer(*ended, true);
                std::erase_if(this->watches,
                              [ended](const auto &known) { return known.get() == ended; });
            });
}

bool PlatformStoreStandin::answer(const Watch &watch, bool hasWaited) const
{
    const StoreContents::Reply found =
            this->storeContents.changes(watch.prefix, watch.afterRevision);
    if (!hasWaited && found.body.value(QLatin1String("events")).toArray().isEmpty())
        return false;
    watch.exchange->answer(found.status, found.body);
    return true;
}

void PlatformStoreStandin::handleChange()
{
    std::erase_if(this->watches, [this](const auto &watch) { return this->answer(*watch, false); });
}

} // namespace lacewingmux::standin
