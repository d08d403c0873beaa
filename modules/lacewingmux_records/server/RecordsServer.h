#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaLease.h"
#include "lacewingmux_records/quota/QuotaTokenBucket.h"
#include "lacewingmux_records/server/RecordsServerHooks.h"
#include "lacewingmux_records/server/RecordsSync.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <map>
#include <set>

namespace lacewingmux {

class DurableLog;
class MetricsRecorder;

/**
    A records VM: keeps what programs have said, reserved and handed out, and hands out its part of
    the teams' rates.

    Whatever it acknowledges is on its disk. It refuses requests under an older view than its own,
    so that quorums of two views that don't overlap can't both count.
*/
class RecordsServer
{
public:
    RecordsServer(PeerHub &peerHub, DurableLog &durableLog, TimerService &timerService,
                  MetricsRecorder &metricsRecorder, RecordsServerHooks serverHooks);

    /** Takes a view; an older one than that in force is ignored. */
    void setView(const RecordsView &newView);

    /** Takes a version of the operators' configuration, to pass on to VMs that lack it. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

private:
    void handleOpen(const VmIncarnation &peer, const PeerFrame &frame);
    void handleWrite(const VmIncarnation &peer, const PeerFrame &frame);
    void handlePull(const VmIncarnation &peer, const PeerFrame &frame);
    void handleFetch(const VmIncarnation &peer, const PeerFrame &frame);
    void handleGrant(const VmIncarnation &peer, const PeerFrame &frame);
    void replay(std::uint64_t sequence, const Record &record);
    QuotaTokenBucket &bucketOf(const QByteArray &team);
    void writeFloor(const QByteArray &team, double tokens, std::function<void()> durable);
    [[nodiscard]] bool refuseOldView(const VmIncarnation &peer, const PeerFrame &frame);
    [[nodiscard]] std::uint64_t replyEpoch(std::uint64_t askedUnder) const;
    void lookUpChain(const OpenTurnMessage &message, OpenTurnReplyMessage &reply);
    std::uint64_t append(const Record &record);
    void housekeep();
    void reportSilentMembers();
    [[nodiscard]] bool isUpToDateSpare(TimerService::SteadyTime now) const;
    void checkSynced();

    PeerHub &hub;
    DurableLog &log;
    TimerService &timers;
    MetricsRecorder &metrics;
    RecordsServerHooks hooks;
    RecordIndex index;
    RecordsSync sync;
    RecordsView view;
    TimerService::SteadyTime started;
    QuotaLease lease;
    QHash<QByteArray, QuotaTokenBucket> buckets;
    QHash<QByteArray, double> unspent; ///< floors that the disk held at the start, by team
    ConfigurationRelay configuration;
    std::set<VmIncarnation> entryVms;
    std::map<VmIncarnation, TimerService::SteadyTime> heard; ///< members, when last
    std::map<VmIncarnation, std::uint64_t> copiedTo;         ///< members, places in the own log
    /** The last record that was stored while this member's copies counted; what came after it
        left the others have of their own. */
    std::uint64_t lastCounted = 0;
    bool syncedTold = false;
    bool copiedTold = false;
    TimerSubscription housekeeping;
};

} // namespace lacewingmux
