#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"
#include "platform-store/StoreContents.h"

#include <QByteArray>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrlQuery>

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux::review {

/** Serves the project's stand-in of the operators' store over HTTP/1.1 on loopback. */
class StoreServer
{
public:
    explicit StoreServer(TimerService &timerService);
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;

    /** Listens on a free port and returns it; 0 on failure. */
    std::uint16_t start();

    [[nodiscard]] standin::StoreContents &contents() noexcept
    {
        return this->storeContents;
    }

private:
    /** A poll that waits for a change. */
    struct Watch
    {
        QPointer<QTcpSocket> socket;
        QByteArray prefix;
        std::int64_t afterRevision = 0;
        TimerSubscription limit;
    };

    void accept(QTcpSocket *socket);
    void handle(const HttpRequest &request, QTcpSocket *socket);
    [[nodiscard]] standin::StoreContents::Reply
    reply(const QByteArray &path, const QUrlQuery &query, const QByteArray &body);
    void beginWatch(const QUrlQuery &query, QTcpSocket *socket);
    /** Answers the watch if there are changes, or if it has waited for its time. */
    [[nodiscard]] bool answer(const Watch &watch, bool hasWaited) const;
    void handleChange();

    TimerService &timers;
    standin::StoreContents storeContents;
    std::vector<std::shared_ptr<Watch>> watches;
    QTcpServer listener;
};

} // namespace lacewingmux::review
