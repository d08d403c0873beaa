#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/CallDescription.h"
#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/forwarding/CallDeadline.h"
#include "lacewingmux_gateway/forwarding/GatewayServices.h"
#include "lacewingmux_gateway/forwarding/QuotaRequest.h"
#include "lacewingmux_gateway/forwarding/StreamEvents.h"
#include "lacewingmux_gateway/forwarding/TurnRequest.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/replicas/ExchangeFailure.h"
#include "lacewingmux_gateway/routing/GatewayRoute.h"
#include "lacewingmux_gateway/routing/GatewayTeam.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

class IngressConnection;
class ReplicaConnection;
struct TurnAdmission;

/**
    One attempt of a caller, from its arrival to its final answer.

    The claim on a call that may run once lives here and nowhere else: it is sent again only when
    the earlier replica promised that it had not run it, or when no connection came about. 429 and
    503 are answered only while no replica can have run it.

    An answer with a length is passed on once it is whole, so that one that breaks off can still be
    asked for elsewhere. A stream is passed on event by event; its end waits until the turn is kept.
*/
class ForwardedCall : public std::enable_shared_from_this<ForwardedCall>
{
public:
    /** The ended hook is called once, when nothing is left to do. */
    ForwardedCall(const GatewayServices &gatewayServices,
                  std::shared_ptr<IngressConnection> callerConnection, HttpRequest callerRequest,
                  std::function<void()> endedHook);
    ~ForwardedCall();
    ForwardedCall(const ForwardedCall &) = delete;
    ForwardedCall &operator=(const ForwardedCall &) = delete;

    /** Starts the call. */
    void begin();

    /** The caller has gone: stops the replica's work. */
    void callerLeft();

private:
    enum class Phase : std::uint8_t {
        Admitting, ///< quota, history and budget are being asked for
        Placing,   ///< waits for a replica
        Sent,      ///< a replica has the request, and its answer has not begun to go out
        Streaming, ///< events go out
        Storing,   ///< the whole turn is being kept
        Ended
    };

    // Admission
    [[nodiscard]] bool findRoute();
    [[nodiscard]] bool authenticate();
    [[nodiscard]] bool isHarmless();
    void takeQuota();
    void openTurn();
    [[nodiscard]] bool canReachRecords();
    void turnOpened(const TurnAdmission &start);

    // Placement
    void place();
    void sendTo(const QByteArray &replica);
    void retryLater();

    // Answers
    [[nodiscard]] bool belongs(const HttpResponseHead &answer);
    void handleHead(const HttpResponseHead &answer);
    void handleBody(const QByteArray &bytes);
    void handleComplete();
    void handleFailure(ExchangeFailure reason);
    void handleRejection();
    void passEvents(const QByteArray &bytes);
    void passWhole();
    void finishStream();
    void resumeOrBreakOff(const char *reason);
    void handleTimeout();
    void watchSilence();
    void leaveReplica();
    void keepConnection();

    // Ends
    /** Refuses the call; of a kind that promises "not run" only while no replica can have run it.
     */
    void refuse(ErrorKind kind, const char *reason, std::chrono::milliseconds retryAfter);
    void fail(ErrorKind kind, const char *reason);
    void answerOwn(ErrorKind kind, const char *reason, std::chrono::milliseconds retryAfter);
    void breakOff(const char *reason);
    void settle();
    void end(const char *outcome);
    void logEnd(const char *outcome) const;

    [[nodiscard]] bool mayRunAgain() const;

    /** Returns a digest of the request that is the same whenever it comes again. */
    [[nodiscard]] QByteArray contentDigest() const;
    [[nodiscard]] bool isTurn() const;
    [[nodiscard]] std::int64_t tokensHandedOut() const;
    [[nodiscard]] TimerService::SteadyTime now() const;

    GatewayServices services; ///< with the routing table of the time of arrival
    std::shared_ptr<IngressConnection> caller;
    HttpRequest request;
    std::function<void()> ended;
    CallDescription description;
    GatewayRoute route;
    QByteArray service;
    bool forEngine = false;
    std::int64_t tokensPerEvent = 1;
    GatewayTeam team;
    CallDeadline deadline;
    TimerService::SteadyTime arrived;
    TimerService::SteadyTime sentAt;
    std::chrono::milliseconds untilAdmitted{0};         ///< from the arrival to the quota's answer
    std::optional<std::chrono::milliseconds> untilSent; ///< from the arrival to the first send
    std::chrono::milliseconds untilFirstEvent{0}; ///< from the arrival to a stream's first event
    TimerService::SteadyTime lastHeard;           ///< of the replica, or when the request was sent
    bool probing = false;
    Phase phase = Phase::Admitting;

    QuotaRequest quotaRequest;
    bool quotaTaken = false; ///< and no replica has been sent the request
    bool quotaRefused = false;
    TurnRequest opening;
    bool reserved = false;
    QByteArray history;

    std::shared_ptr<ReplicaConnection> connection;
    QByteArray replica;              ///< instance that has the request
    std::vector<QByteArray> avoided; ///< instances that must not get it again
    int runs = 0;                    ///< sends after which the request may have run
    int rejections = 0;
    int rounds = 0; ///< times that all replicas were tried in vain
    HttpResponseHead head;
    ReplicaResponseInfo verdict;
    bool streamed = false; ///< the answer under way is a stream of events
    bool unusable = false; ///< the answer under way is a success that must not be passed on
    QByteArray body;       ///< of an answer that is passed on as a whole
    StreamEvents events;
    bool streamBegun = false; ///< the caller has the head of a stream
    QByteArray endReason;     ///< why it was refused or broken off, for the log
    TimerSubscription timeout;
    TimerSubscription retry;
    TimerSubscription silenceWatch;
};

} // namespace lacewingmux
