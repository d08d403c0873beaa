#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/HistoryCache.h"
#include "lacewingmux_records/client/HistoryTransfer.h"
#include "lacewingmux_records/client/RecordsClientLimits.h"
#include "lacewingmux_records/client/TurnQuorum.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class MetricsRecorder;

/**
    Stores the histories and budgets of programs on the records VMs.

    A program's reservations are kept by the members of its group, and so are its turns, unless they
    continue a turn of a program of another group: then they are kept beside that one, and found by
    asking the other groups if the program's own group does not know it.
*/
class RecordsClient final : public TurnStore
{
public:
    /** The hook receives the document of a view that is newer than the current one. */
    RecordsClient(PeerHub &peerHub, TimerService &timerService, MetricsRecorder &metricsRecorder,
                  const RecordsClientLimits &clientLimits,
                  std::function<void(const QByteArray &)> newerViewHook);
    ~RecordsClient() override;

    /** Adopts a view, unless it is older than the current one. */
    void setView(const RecordsView &newView);

    void open(const TurnRequest &turn, AdmissionCallback callback) override;
    void store(const TurnRequest &turn, const QByteArray &input, const QByteArray &output,
               std::int64_t tokens, StoredCallback callback) override;
    void settle(const TurnRequest &turn, std::int64_t tokens) override;

    /** Returns whether enough records VMs are reachable to open and store turns, in at least half
       of the groups. */
    [[nodiscard]] bool hasQuorum() const;

    /** Returns the same, counting only records VMs that have sent anything within the given time.
     */
    [[nodiscard]] bool hasResponsiveQuorum(std::chrono::milliseconds maximumSilence) const;

private:
    using MemberTest = std::function<bool(const VmIncarnation &)>;

    struct PendingOpening
    {
        int group = 0;
        TurnRequest turn;
        TurnQuorum quorum;
        AdmissionCallback callback;
        TimerService::SteadyTime startedAt;
        TimerSubscription timeout;
        std::optional<TimerSubscription> reconnectTimer; ///< until when broken links may form again
        bool reconnectTimeIsOver = false;
        bool historyLate = false; ///< the member that was asked for the history is late
        TimerSubscription historyHedgeTimer;
        std::optional<CachedHistory> history; ///< empty while it has to be requested
        std::optional<HistoryTransfer> transfer = std::nullopt; ///< of a long history, in parts
        TimerSubscription partTimer{}; ///< until when the requested part has to arrive
    };

    struct PendingWrite
    {
        int group = 0;
        Record record;
        std::chrono::milliseconds retention{0};
        std::set<VmIncarnation> unacknowledged; ///< members whose acknowledgement is awaited
        std::set<VmIncarnation> copies;         ///< members that have acknowledged it
        StoredCallback callback;
        TimerSubscription timeout;
    };

    /** The search for a turn in several groups. */
    struct Search
    {
        TurnRequest turn;
        AdmissionCallback callback;
        int pending = 0; ///< groups that have not answered yet
        bool ended = false;
        bool isUncertain = false; ///< some group could not tell
        std::chrono::milliseconds retryAfter{0};
    };

    /** Opens a turn whose history has to be requested, first from the program's group. */
    void openWithHistory(int group, const TurnRequest &turn, AdmissionCallback callback);
    /** Opens the turn in one group, with the reservation if the turn has a budget, and with a
       request for the history if none is given. */
    void openInGroup(int group, const TurnRequest &turn,
                     const std::optional<CachedHistory> &history, AdmissionCallback callback);
    /** Opens a turn whose previous turn is not known to the program's group. */
    void searchOtherGroups(int ownGroup, const TurnRequest &turn, AdmissionCallback callback);
    void handleSearchResult(Search &search, const TurnAdmission &admission);
    [[nodiscard]] bool hasQuorum(const RecordsView &group) const;
    [[nodiscard]] bool hasQuorumInHalfOfGroups(const MemberTest &isReachable) const;
    [[nodiscard]] static bool isQuorum(const RecordsView &group, const MemberTest &isReachable);
    [[nodiscard]] const RecordsView &viewOf(int group) const;
    void sendOpening(std::uint64_t correlation, PendingOpening &opening);
    void handleOpenReply(const VmIncarnation &peer, const PeerFrame &frame);
    void handleAck(const VmIncarnation &peer, const PeerFrame &frame);
    void handleViewNotice(const VmIncarnation &peer, const PeerFrame &frame);
    /** Requests the view of a member that answered under a newer one than this VM has: the answer
        does not count, and what is pending is sent again under the newer view. */
    void requestNewerView(const VmIncarnation &peer, const PeerFrame &answer);
    void handleLinkChange(const VmIncarnation &peer, bool up);
    /** Sends what is pending to a member whose link has formed again. */
    void sendPendingAgain(const VmIncarnation &peer);
    /** Returns whether the opening waits for broken links, without which it has too few replies. */
    bool awaitsLinks(std::uint64_t correlation, PendingOpening &opening);
    /** Requests the history from another member if that is needed, and finishes the opening once
        its outcome is known. */
    void continueOpening(std::uint64_t correlation);
    void finishOpening(std::uint64_t correlation, TurnOutcome outcome);
    void handleOpeningTimeout(std::uint64_t correlation);
    /** Requests the next part of a long history, unless one is on its way or other transfers come
        first. */
    void continueTransfer(std::uint64_t correlation);
    void requestPart(std::uint64_t correlation, PendingOpening &opening);
    void handlePart(const VmIncarnation &peer, const PeerFrame &frame);
    /** Goes on with another member after the current one has failed to send a part. */
    void changeTransferSource(std::uint64_t correlation);
    void continueWaitingTransfers();
    [[nodiscard]] std::ptrdiff_t activeTransfers() const;
    /** Returns a member that has the history of the opening and can be asked for its next part. */
    [[nodiscard]] std::optional<VmIncarnation>
    nextTransferSource(const PendingOpening &opening) const;
    void logNotOpened(const PendingOpening &opening, TurnOutcome outcome) const;
    void sendWrite(std::uint64_t correlation, PendingWrite &write);
    /** Sends the record to all members of the group that store it; returns those that are
        connected. */
    std::set<VmIncarnation> sendRecord(int group, const Record &record, std::uint64_t correlation);
    void finishWrite(std::uint64_t correlation, bool durable);
    /** Caches the history of a turn that is kept, if that of the turn before it is cached. */
    void cacheHistory(const PendingWrite &write);
    [[nodiscard]] OpenTurnMessage openMessage(const PendingOpening &opening) const;
    [[nodiscard]] const RecordsMember *preferredSource(const RecordsView &group) const;
    [[nodiscard]] Record recordOf(const TurnRequest &turn, RecordKind kind,
                                  std::int64_t tokens) const;

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    std::function<void(const QByteArray &)> newerView;
    RecordsView view;                ///< of all groups
    std::vector<RecordsView> groups; ///< the views of the single groups
    RecordsClientLimits limits;
    HistoryCache cache;
    TimerService::SteadyTime lastPartAt; ///< when the last part of any long history arrived
    std::uint64_t nextCorrelation = 1;
    std::map<std::uint64_t, PendingOpening> pendingOpenings;
    std::map<std::uint64_t, PendingWrite> pendingWrites;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
