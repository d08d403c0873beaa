#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/CallDescription.h"
#include "lacewingmux_gateway/forwarding/CallContext.h"
#include "lacewingmux_gateway/forwarding/CallDeadline.h"
#include "lacewingmux_gateway/forwarding/DeliveredStream.h"
#include "lacewingmux_gateway/forwarding/QuotaRequest.h"
#include "lacewingmux_gateway/forwarding/ReplicaAttempt.h"
#include "lacewingmux_gateway/forwarding/TurnRequest.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/replicas/ExchangeFailure.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/routing/GatewayRoute.h"
#include "lacewingmux_gateway/routing/GatewayTeam.h"
#include "lacewingmux_scheduling/replicas/ReplicaPace.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

struct ReplicaRequest;
class IngressConnection;
class TunnelUse;
struct QuotaDecision;
struct ReplicaInstance;
struct TurnAdmission;

/**
    One attempt of a caller, from its arrival to its final response.

    This class alone decides whether a call that may run only once is sent again: it is if the
    previous replica promised that it did not run the call, or if connecting failed. Status 429 and
    503 are returned only while no replica can have run the call.

    A response with a length is forwarded once complete, so that a truncated one can be retried on
    another replica. A stream is forwarded event by event, and ends once the turn is stored.
*/
class ForwardedCall : public std::enable_shared_from_this<ForwardedCall>
{
public:
    /** The hook is called once, when the call has ended. */
    ForwardedCall(const CallContext &callContext,
                  std::shared_ptr<IngressConnection> callerConnection, HttpRequest callerRequest,
                  std::function<void()> endedHook);
    ~ForwardedCall();
    ForwardedCall(const ForwardedCall &) = delete;
    ForwardedCall &operator=(const ForwardedCall &) = delete;

    void begin();

    /** Cancels the call, because the caller disconnected. */
    void callerDisconnected();

    /** Applies a planned stop to a call that arrived before it: unless it ends by the given time
        for certain, it is refused while no replica has it, and not sent to another one. */
    void beginStop(TimerService::SteadyTime latestEnd);

    /** Ends the call, because the time of a planned stop is over. */
    void endWithStop();

private:
    enum class Phase : std::uint8_t {
        Admitting, ///< waits for quota, history and budget
        Placing,   ///< waits for a replica
        Sent,      ///< a replica has the request; nothing was sent to the caller
        Streaming, ///< events are sent to the caller
        Storing,   ///< waits until the complete turn is stored
        Ended
    };

    // Admission
    /** Goes on with the admission of a call that is not quarantined, or that may be tried. */
    void admit();
    [[nodiscard]] bool findRoute();
    [[nodiscard]] bool authenticate();
    /** Refuses the call if its content is quarantined, unless it may be tried, which is decided
        later; returns whether the call continues at once. */
    [[nodiscard]] bool admitUnlessQuarantined();
    /** Refuses the first turn of a program that cannot finish in time; returns whether the call
        continues. */
    [[nodiscard]] bool admitProgram();
    /** Refuses a turn whose caller has its first events already, as it could only be stored without
        them; returns whether the call continues. */
    [[nodiscard]] bool admitIfStoredWhole();
    void takeQuota();
    /** Opens a turn if the call has a budget or continues a turn; otherwise places the call. */
    void openTurnIfNeeded();
    /** Refuses the call if too few records VMs can be reached; returns whether the call
        continues. */
    [[nodiscard]] bool admitIfRecordsReachable();
    void handleTurnAdmission(const TurnAdmission &admission);
    /** Takes the history; refuses the call if the conversation is too long, or if long histories of
        other calls leave too little memory. Returns whether the call continues. */
    [[nodiscard]] bool holdHistory(const QByteArray &bytes);
    void releaseHistoryMemory();
    /** Returns whether the call ends in time for a planned stop, also if it takes until its
        deadline; true unless one has begun. */
    [[nodiscard]] bool endsBeforeStop() const;
    /** Refuses the call unless it ends in time for a planned stop; returns whether it
        continues. */
    [[nodiscard]] bool admitIfEndsBeforeStop();

    // Placement
    void placeCall();
    /** Returns the quota that a call to the replica needs, because it has named a limit or is cold;
        nothing for other replicas. */
    [[nodiscard]] std::optional<QuotaRequest> quotaOf(const ReplicaInstance &chosen) const;
    /** Takes a request from the quota of the replica, before the call is sent. */
    void takeReplicaQuota(const QByteArray &instance, QuotaRequest replicaQuota);
    void handleReplicaQuota(const QByteArray &instance, const QuotaDecision &decision);
    void sendToReplica(const QByteArray &instance);
    /** Starts an attempt at the replica; nothing of the one before is kept. */
    void beginAttempt(const ReplicaInstance &instance,
                      std::shared_ptr<ReplicaConnection> connection);
    /** Returns the request as it is sent in the current attempt. */
    [[nodiscard]] ReplicaRequest replicaRequest() const;
    [[nodiscard]] ReplicaConnection::Hooks exchangeHooks();
    void schedulePlacementRetry();
    /** Returns the priority of the request at a replica; nothing if the service knows none. */
    [[nodiscard]] std::optional<int> replicaPriority() const;

    // Responses
    /** Tells whether a response on the connection of the current attempt belongs to it. */
    [[nodiscard]] ResponseAttribution attribute(const HttpResponseHead &responseHead);
    /** Records what the replica announces about itself in the head of a response. */
    void recordAnnouncements();
    /** Records what the head of a response says about whether the replica is cold; only a valid
        response to the own request says that it is not. */
    void recordColdness(bool isOwnResponse);
    void handleHead(const HttpResponseHead &responseHead);
    void recordLoadReport();
    void handleBody(const QByteArray &bytes);
    void handleComplete();
    /** Waits for bytes behind a complete body that ends like the beginning of a response: if it was
        cut and filled up by another response, the rest of that one follows. Returns whether the
        end of the response is still to be handled. */
    [[nodiscard]] bool awaitTrailingBytes();
    /** Tells whether the replica may have given up the call at its deadline. The end of a
       connection that also ends the body does not say whether the body is complete. */
    [[nodiscard]] bool mayHaveExpiredAtReplica() const;
    void handleFailure(ExchangeFailure reason);
    /** Finds out whether the replica, which closed its connection, crashed. */
    void suspectCrash(const std::shared_ptr<const TunnelUse> &tunnel);
    /** The same for an answer that can't be used. It takes no new connection if another one to the
        replica is open, as such answers may be frequent. */
    void suspectCrashUnlessReachable(const std::shared_ptr<const TunnelUse> &tunnel);
    void recordBrokenConnection();
    /** Records that the request does not crash replicas, if the one that answered is still there
        shortly afterwards. */
    void clearSuspicionIfSurvived(const std::shared_ptr<const TunnelUse> &tunnel);
    /** Tells whether the response states that the replica did not run the request, so that another
        one may. */
    [[nodiscard]] bool isRejected() const;
    void handleRejection();
    /** Records the bytes that the response takes; returns whether it may go on. */
    [[nodiscard]] bool accountResponse();
    /** Stops counting the bytes of the response. */
    void releaseResponseMemory();
    void forwardEvents(const QByteArray &bytes);
    void deliverEvents(const StreamEvents &events);
    /** Sends the events that were held back until the end of the stream; returns whether the call
        goes on. */
    [[nodiscard]] bool deliverHeldEvents();
    /** Records the arrival of events, and learns from the first one how fast the replica reads. */
    void recordEvents(const StreamEvents &events);
    /** Learns from the events of a complete stream how fast the replica writes. */
    void recordWriting();
    /** Learns from a complete response how fast a plain service is. */
    void recordCallDuration();
    void recordWork(ReplicaWork work, double amount, ReplicaPace::Milliseconds duration);
    void forwardResponse();
    void finishStream();
    /** Records how long the turn has occupied a replica. */
    void recordTurnDuration();
    /** Sends the call to another replica after a failed attempt, if it may run again; otherwise
        ends it. A stream that has started is resumed or broken off. */
    void continueElsewhere(const char *reason);
    /** Ends the call, but first reads what may have arrived before the deadline. */
    void handleDeadline();
    void handleTimeout();
    /** Records that data arrived from the replica. */
    void recordReplicaActivity();
    /** Continues a call whose request could not be sent, as no connection came about. */
    void handleNotConnected(const std::shared_ptr<const TunnelUse> &tunnel);
    /** Probes the replica if it has sent nothing for some time. */
    void checkReplicaActivity();
    /** Finds out whether new calls can reach the replica. The result does not end this call: a
        replica that accepts no new connections may still serve those that it has. */
    void probeReplica();
    /** Ends the attempt, if one is under way, and logs the outcome. */
    void abortExchange(const char *outcome);
    void releaseConnection();

    // Completion
    /** Refuses the call. The kind may promise "not run": if a replica may have run the call, the
        call fails instead. */
    void refuse(ErrorKind kind, const char *reason, std::chrono::milliseconds retryAfter);
    void fail(ErrorKind kind, const char *reason);
    void sendErrorResponse(ErrorKind kind, const char *reason,
                           std::chrono::milliseconds retryAfter);
    void abortResponse(const char *reason);
    void settleReservation();
    void end(const char *outcome);
    /** Logs and counts how the call ended; one that ended without the complete response of a
        replica that may have run it also by its reason. */
    void recordOutcome(const char *outcome) const;
    void logOutcome(const char *outcome) const;
    /** Logs how an attempt at a replica ended, and counts it. The only attempt of a call that ended
        with a complete response or was cancelled is only counted: "callEnded" describes it. */
    void logAttempt(const char *outcome) const;

    /** Returns the number of sends that count as attempts of the route. */
    [[nodiscard]] int countedRuns() const;
    [[nodiscard]] bool mayRetry() const;
    [[nodiscard]] bool isCold(const QByteArray &instance) const;

    /** Returns a digest of the request that is equal for each of its attempts, and for each later
        request with the same content. */
    [[nodiscard]] const QByteArray &contentDigest();
    /** Returns a digest of the content and of the turn that the call continues; empty if it
        continues none. */
    [[nodiscard]] QByteArray turnDigest();
    /** Returns the digest by which the request is refused because replicas crashed while they ran
        it, if it is. */
    [[nodiscard]] std::optional<QByteArray> quarantinedDigest();
    /** Lets the call run if it is the only one of all VMs that may try a quarantined request. */
    void takeTrialQuota(const QByteArray &quarantined);
    void refuseQuarantined(const QByteArray &quarantined);
    [[nodiscard]] bool isTurn() const;
    /** Returns whether the call is probably the first turn of a program. */
    [[nodiscard]] bool startsProgram() const;
    /** Returns the priority of the team or else of the route; 0 is the most urgent. */
    [[nodiscard]] int level() const;
    [[nodiscard]] std::int64_t deliveredTokens() const;
    [[nodiscard]] TimerService::SteadyTime now() const;

    CallContext context; ///< with the routing table at the time of arrival
    std::shared_ptr<IngressConnection> caller;
    HttpRequest request;
    std::function<void()> endedCallback;
    CallDescription description;
    GatewayRoute route;
    QByteArray service;
    bool forEngine = false;
    std::int64_t tokensPerEvent = 1;
    GatewayTeam team;
    CallDeadline deadline;
    TimerService::SteadyTime arrived;
    std::chrono::milliseconds programWait{0};   ///< since the program was rejected first
    std::chrono::milliseconds admissionTime{0}; ///< from arrival to quota decision
    std::optional<std::chrono::milliseconds> timeToFirstSend; ///< from arrival
    std::chrono::milliseconds timeToFirstEvent{0};            ///< of a stream, from arrival
    Phase phase = Phase::Admitting;

    QuotaRequest quotaRequest;
    bool quotaHeld = false; ///< quota was taken, and the request was not sent yet
    bool quotaRefused = false;
    TurnRequest turnRequest;
    bool budgetReserved = false;
    QByteArray history;
    qsizetype accountedHistoryBytes = 0; ///< in the memory of long histories
    QByteArray digest;                   ///< of the content, once it was needed

    std::vector<QByteArray> excludedInstances; ///< not to be tried again
    int possibleRuns = 0;                      ///< sends that may have run the request
    int uncountedRuns = 0; ///< of these, those that do not count as attempts of the route
    int rejections = 0;
    int placementRounds = 0;    ///< times that no replica was available
    bool waitsForLimit = false; ///< every replica is excluded or at its limit
    /** Shortest time until a replica that refused this call is below its limit again. */
    std::optional<std::chrono::milliseconds> limitRetryAfter;
    ReplicaAttempt attempt; ///< the current or last one
    DeliveredStream delivered;
    qsizetype accountedBytes = 0; ///< of the response, in the memory of all calls
    QByteArray endReason;         ///< why the call was refused or aborted, for the log
    TimerSubscription deadlineTimer;
    std::optional<TimerService::SteadyTime> overdueSince; ///< once the deadline has passed
    TimerSubscription placementTimer;
};

} // namespace lacewingmux
