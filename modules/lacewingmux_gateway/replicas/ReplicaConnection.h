#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/replicas/ExchangeFailure.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

class ResponseDecoder;

/** Time in which a connection to a replica comes about: hundreds of round trips between zones. */
inline constexpr std::chrono::milliseconds replicaConnectLimit{400};

/**
    One connection to a replica, which carries one exchange at a time.

    An answer that names another request is passed over: replicas may repeat an answer late. Bytes
    that come while no exchange is under way make the connection unfit for another.
*/
class ReplicaConnection
{
public:
    /** What the exchange is told. After complete or failed nothing more is called. */
    struct Hooks
    {
        /** Tells whether the answer with this head belongs to the exchange. */
        std::function<bool(const HttpResponseHead &)> belongs;
        std::function<void(const HttpResponseHead &)> head;
        std::function<void(const QByteArray &)> body;
        std::function<void()> complete;
        std::function<void(ExchangeFailure)> failed;
    };

    /** Starts to connect. */
    ReplicaConnection(const QHostAddress &address, std::uint16_t port, TimerService &timerService);
    ~ReplicaConnection();
    ReplicaConnection(const ReplicaConnection &) = delete;
    ReplicaConnection &operator=(const ReplicaConnection &) = delete;

    /** Sends a request, once connected, and reads its answer. */
    void exchange(const QByteArray &request, bool isHead, Hooks exchangeHooks);

    /** Ends the exchange, its hooks and the connection. */
    void abort();

    /** Tells whether another exchange may use the connection now. */
    [[nodiscard]] bool isReusable() const;

    /** Sets until when an idle connection may be used. */
    void setReusableUntil(TimerService::SteadyTime time)
    {
        this->reusableUntil = time;
    }

private:
    void writeNow(const QByteArray &request);
    void handleConnected();
    void handleEnd();
    void readAvailable();
    void advance();
    void fail(ExchangeFailure reason);
    void watchForReset();
    [[nodiscard]] bool wasReset() const;

    QTcpSocket *socket;
    TimerService &timers;
    TimerSubscription connectTimeout;
    TimerService::SteadyTime reusableUntil;
    std::shared_ptr<const Hooks> hooks;
    std::unique_ptr<ResponseDecoder> decoder;
    QByteArray unsent; ///< the request, until connected
    bool connected = false;
    bool busy = false;
    bool isHeadRequest = false;
    bool headPassed = false;
    bool foreignAnswer = false; ///< the answer being read belongs to another request
    bool broken = false;
    int resetWatch = -1; ///< second descriptor of the socket, where its end must be judged
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux
