#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/replicas/ExchangeFailure.h"
#include "lacewingmux_gateway/replicas/ResponseAttribution.h"
#include "lacewingmux_tunnel/client/ConnectResult.h"
#include "lacewingmux_tunnel/client/StreamConnector.h"
#include "lacewingmux_tunnel/client/StreamRoute.h"
#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QByteArray>

#include <functional>
#include <memory>
#include <vector>

class QTcpSocket;

namespace lacewingmux {

class PeerMonitor;
class ResponseDecoder;
class SharedReading;
class UploadCompletion;
struct ReplicaRequest;

/**
    One connection to a replica, direct or through a tunnel, which carries one request/response
    exchange at a time.

    A response to another request is discarded, because replicas may repeat a response late. One
    that cannot be attributed, or whose end is uncertain, fails the exchange. A connection that
    receives bytes outside an exchange is not reused.
*/
class ReplicaConnection
{
public:
    /** Callbacks of an exchange. None is called after complete or failed. */
    struct Hooks
    {
        /** Tells whether the request may still be written; asked once, right before it is
            written. If not, the exchange fails as NotConnected. May be null. */
        std::function<bool()> maySend;
        /** Tells whether the response with this head belongs to the exchange. */
        std::function<ResponseAttribution(const HttpResponseHead &)> attribute;
        std::function<void(const HttpResponseHead &)> head;
        std::function<void(const QByteArray &)> body;
        std::function<void()> complete;
        std::function<void(ExchangeFailure)> failed;
    };

    /** Starts to connect. The connections of a thread read by turns. */
    ReplicaConnection(const StreamRoute &streamRoute, TimerService &timerService,
                      std::shared_ptr<SharedReading> sharedReading);
    ~ReplicaConnection();
    ReplicaConnection(const ReplicaConnection &) = delete;
    ReplicaConnection &operator=(const ReplicaConnection &) = delete;

    /** Sends a request once connected, and reads its response. */
    void exchange(const ReplicaRequest &request, Hooks exchangeHooks);

    /** Cancels the exchange without calling its hooks, and closes the connection. */
    void abort();

    /** Returns how the attempt to connect ended; Connected while it lasts. */
    [[nodiscard]] ConnectResult connectResult() const noexcept
    {
        return this->lastConnectResult;
    }

    /** Returns the tunnel that the connection uses; null for a direct connection. */
    [[nodiscard]] const std::shared_ptr<const TunnelUse> &tunnel() const noexcept
    {
        return this->tunnelUse;
    }

    /** Returns the number of exchanges begun on the connection, the current one included. */
    [[nodiscard]] int exchangeCount() const noexcept
    {
        return this->exchanges;
    }

    /** Returns the number of responses that the current or last exchange has discarded, because
        they belong to other requests. */
    [[nodiscard]] int discardedResponses() const noexcept
    {
        return this->discarded;
    }

    /** Returns the bytes that were read behind the response of the last exchange, with it or
        later. */
    [[nodiscard]] const QByteArray &trailingBytes() const noexcept
    {
        return this->trailing;
    }

    /** Tells whether a response to a request with this id, which may be empty, can be told from
        late responses to the requests that the connection has carried. */
    [[nodiscard]] bool distinguishes(const QByteArray &requestId) const;

    /** Tells whether bytes or the end of the connection have arrived that were not read yet. */
    [[nodiscard]] bool hasUnreadInput() const;

    /** Tells whether another exchange may use the connection now. */
    [[nodiscard]] bool isReusable() const;

    /** Sets until when an idle connection may be used. */
    void setReusableUntil(TimerService::SteadyTime time)
    {
        this->reusableUntil = time;
    }

private:
    void writeNow(const ReplicaRequest &request);
    void handleConnectResult(ConnectResult result);
    void handleDisconnected();
    /** Sends the rest of the request, if it was not sent in whole when the replica ended its side
       of the connection. Returns whether the end of the response is decided by that later. */
    [[nodiscard]] bool completeUpload();
    void handleUploadEnded(bool wasReset);
    /** Ends the exchange on a connection that the replica has closed, with a whole response if that
        ends with the connection. */
    void endExchange(bool isResponseWhole, ExchangeFailure failure);
    /** Returns the last bytes of the request. */
    [[nodiscard]] std::vector<QByteArray> lastPartsOfRequest(qsizetype bytes) const;
    void handlePeerLost();
    /** Returns how an exchange fails when its connection is no longer acknowledged. */
    [[nodiscard]] ExchangeFailure lossFailure() const;
    /** Reads at once, or later if much has arrived and other connections come first. */
    void readByTurns();
    void readAvailable();
    void deliverDecoded();
    /** Discards a part of the body of a response to another request. Returns whether the exchange
        goes on: it fails if the part holds the beginning of another response, or there are too many
        bytes. */
    [[nodiscard]] bool discard(const QByteArray &body);
    /** Tells whether it is certain where a response to an earlier request ends. */
    [[nodiscard]] bool hasKnownEnd(const HttpResponseHead &head) const;
    /** Begins with the response whose head was decoded; returns whether its body may follow. */
    [[nodiscard]] bool beginResponse();
    /** Fails the exchange on the next turn of the event loop. */
    void failLater(ExchangeFailure reason);
    void fail(ExchangeFailure reason);

    QTcpSocket *socket;
    TimerService &timers;
    std::shared_ptr<SharedReading> reading;
    std::shared_ptr<const TunnelUse> tunnelUse;
    std::unique_ptr<StreamConnector> connector; ///< until connected
    std::unique_ptr<PeerMonitor> monitor;       ///< once connected
    ConnectResult lastConnectResult = ConnectResult::Connected;
    ExchangeFailure connectFailure = ExchangeFailure::NotConnected;
    TimerService::SteadyTime reusableUntil;
    std::shared_ptr<const Hooks> hooks;
    std::unique_ptr<ResponseDecoder> decoder;
    std::unique_ptr<ReplicaRequest> unsentRequest; ///< the request, while still connecting
    std::unique_ptr<ReplicaRequest> sentRequest;   ///< until the system has taken it
    std::unique_ptr<UploadCompletion> upload;      ///< after the replica has ended its side
    QByteArray trailing;
    bool connected = false;
    bool busy = false;
    bool isHeadRequest = false;
    bool headDelivered = false;
    bool isUnrelatedResponse = false; ///< the current response belongs to another request
    qsizetype discardedBytes = 0;     ///< of such responses, in this exchange
    int discarded = 0;                ///< number of such responses, in this exchange
    int exchanges = 0;
    std::vector<std::uint32_t> carriedIds; ///< hashes of the requests' ids
    int headExchanges = 0;                 ///< of all exchanges, those of a HEAD request
    bool broken = false;
    ResetDetector resetDetector;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux
