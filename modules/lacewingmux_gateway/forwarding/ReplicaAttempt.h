#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/forwarding/EventStreamParser.h"
#include "lacewingmux_gateway/forwarding/KeepAliveAllowance.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_tunnel/client/ConnectResult.h"

#include <QByteArray>

#include <cstdint>
#include <memory>
#include <optional>

namespace lacewingmux {

class ReplicaConnection;

/**
    One send of a call to a replica, and what has come back. A call that is sent again begins with a
    new attempt, so that nothing of one replica's response can become part of another's.
*/
struct ReplicaAttempt
{
    // Outcomes for the log, beside the descriptions of ExchangeFailure.
    static constexpr const char *complete = "complete";
    static constexpr const char *cancelled = "cancelled";

    int number = 0;                     ///< 1 for the first attempt of the call
    QByteArray replica;                 ///< instance that the request was sent to
    std::int64_t startMilliseconds = 0; ///< start time of that instance, Unix time
    QByteArray resumedAfter;            ///< event id after which the stream is to continue
    bool resumesStream = false;         ///< the caller has events of the stream already
    double uncachedTokens = 0;          ///< of the prompt at the replica, as estimated
    TimerService::SteadyTime sentAt;
    std::shared_ptr<ReplicaConnection> connection; ///< null once the exchange has ended

    HttpResponseHead head; ///< status 0 until it has arrived
    ReplicaResponseInfo responseInfo;
    bool isStream = false;          ///< the response is an event stream
    bool isInvalidResponse = false; ///< a success that must not be forwarded
    QByteArray body;                ///< of a response that is not streamed
    QByteArray trailing;            ///< bytes that were read behind the response
    bool awaitedTrailing = false;   ///< there was time for such bytes to arrive
    EventStreamParser eventParser;
    KeepAliveAllowance keepAliveAllowance;

    std::int64_t events = 0;      ///< complete events with data
    std::int64_t firstEvents = 0; ///< of these, those up to the first arrival
    TimerService::SteadyTime firstEventArrived;
    TimerService::SteadyTime lastEventArrived;

    TimerService::SteadyTime lastActivity; ///< last data, or time of sending
    TimerSubscription activityTimer;
    bool probing = false;
    std::optional<ConnectResult> probeResult; ///< of the last probe, for the log

    /** Returns the bytes of the response that are held in memory. */
    [[nodiscard]] qsizetype bufferedBytes() const noexcept
    {
        return this->body.size() + this->eventParser.partialBytes();
    }
};

} // namespace lacewingmux
