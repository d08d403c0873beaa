#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/HistoryCache.h"
#include "lacewingmux_records/client/TurnQuorum.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class MetricsRecorder;

/** Stores the histories and budgets of programs on the records VMs. */
class RecordsClient final : public TurnStore
{
public:
    /** The hook receives the document of a view that is newer than the current one. */
    RecordsClient(PeerHub &peerHub, TimerService &timerService, MetricsRecorder &metricsRecorder,
                  qsizetype cacheBytes, std::function<void(const QByteArray &)> newerViewHook);
    ~RecordsClient() override;

    /** Adopts a view, unless it is older than the current one. */
    void setView(const RecordsView &newView);

    void open(const TurnRequest &turn, AdmissionCallback callback) override;
    void store(const TurnRequest &turn, const QByteArray &input, const QByteArray &output,
               std::int64_t tokens, StoredCallback callback) override;
    void settle(const TurnRequest &turn, std::int64_t tokens) override;

    /** Returns whether enough records VMs are reachable to open and store turns. */
    [[nodiscard]] bool hasQuorum() const;

private:
    struct PendingOpening
    {
        TurnRequest turn;
        TurnQuorum quorum;
        AdmissionCallback callback;
        TimerSubscription timeout;
        bool historyLate = false; ///< the member that was asked for the history is late
        TimerSubscription historyHedgeTimer;
        QByteArray cachedHistory;
    };

    struct PendingWrite
    {
        Record record;
        std::set<VmIncarnation> unacknowledged; ///< members whose acknowledgement is awaited
        int copies = 0;                         ///< acknowledged copies that count
        StoredCallback callback;
        TimerSubscription timeout;
    };

    void sendOpening(std::uint64_t correlation, PendingOpening &opening);
    void handleOpenReply(const VmIncarnation &peer, const PeerFrame &frame);
    void handleAck(const VmIncarnation &peer, const PeerFrame &frame);
    void handleViewNotice(const VmIncarnation &peer, const PeerFrame &frame);
    void handleLinkChange(const VmIncarnation &peer, bool up);
    /** Requests the history from another member if that is needed, and finishes the opening once
        its outcome is known. */
    void continueOpening(std::uint64_t correlation);
    void finishOpening(std::uint64_t correlation, TurnOutcome outcome);
    void sendWrite(std::uint64_t correlation, PendingWrite &write);
    /** Sends the record to all members that store it; returns the members that are connected. */
    std::set<VmIncarnation> sendRecord(const Record &record, std::uint64_t correlation);
    void finishWrite(std::uint64_t correlation, bool durable);
    [[nodiscard]] OpenTurnMessage openMessage(const PendingOpening &opening) const;
    [[nodiscard]] const RecordsMember *preferredSource() const;
    [[nodiscard]] Record recordOf(const TurnRequest &turn, RecordKind kind,
                                  std::int64_t tokens) const;

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    std::function<void(const QByteArray &)> newerView;
    RecordsView view;
    HistoryCache cache;
    std::uint64_t nextCorrelation = 1;
    std::map<std::uint64_t, PendingOpening> pendingOpenings;
    std::map<std::uint64_t, PendingWrite> pendingWrites;
};

} // namespace lacewingmux
