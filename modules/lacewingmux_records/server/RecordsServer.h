#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/members/SilenceAgreement.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaGrants.h"
#include "lacewingmux_records/server/HistoryReader.h"
#include "lacewingmux_records/server/RecordsServerHooks.h"
#include "lacewingmux_records/server/RecordsSync.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace lacewingmux {

class DurableLog;
class MetricsRecorder;

/**
    The server of a records VM: stores the turns of programs and the tokens that they have reserved
    and used, and grants its share of the teams' rates.

    A record is acknowledged only once it is on disk. Requests under an older view than the server's
    are refused, so that disjoint quorums of two views can't both succeed.
*/
class RecordsServer
{
public:
    RecordsServer(PeerHub &peerHub, DurableLog &durableLog, TimerService &timerService,
                  MetricsRecorder &metricsRecorder, RecordsServerHooks serverHooks);

    /** Adopts a view of all groups, unless it is older than the current one. */
    void setView(const RecordsView &newView);

    /** Sets the version of the operators' configuration that is passed on to VMs without it. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

private:
    using MemberTest = std::function<bool(const RecordsMember &)>;

    /** Forwards a notice of an entry VM to all others that are connected, whether or not they have
        had any traffic. */
    void forwardToEntryVms(const VmIncarnation &peer, const PeerFrame &frame);
    void handleOpen(const VmIncarnation &peer, const PeerFrame &frame);
    void handleHistoryPartRequest(const VmIncarnation &peer, const PeerFrame &frame);
    void handleWrite(const VmIncarnation &peer, const PeerFrame &frame);
    void handlePull(const VmIncarnation &peer, const PeerFrame &frame);
    void handleFetch(const VmIncarnation &peer, const PeerFrame &frame);
    void handleGrant(const VmIncarnation &peer, const PeerFrame &frame);
    [[nodiscard]] TeamGrantMessage grantTokens(const VmIncarnation &peer,
                                               const TeamDemandMessage &demand,
                                               std::uint64_t configurationVersion);
    void replay(std::uint64_t sequence, const Record &record);
    void writeFloor(const QByteArray &team, double tokens, std::function<void()> durable);
    /** Refuses a request that was sent under an older view, by replying with the newer view. */
    [[nodiscard]] bool refuseOldView(const VmIncarnation &peer, const PeerFrame &frame);
    /** Returns the view number under which a reply to a request is valid. */
    [[nodiscard]] std::uint64_t replyEpoch(std::uint64_t requestEpoch) const;
    /** Logs if a record of a request took long to be on disk, at most once a second. */
    void logIfSlow(TimerService::SteadyTime receivedAt);
    void lookUpChain(const OpenTurnMessage &message, OpenTurnReplyMessage &reply);
    std::uint64_t append(const Record &record);
    /** Appends a record that came from an entry VM; other members may have named it already. */
    std::uint64_t appendReceived(const Record &record);
    /** Returns whether the log holds another run of this turn, whose caller may have sent it again
        with the same id, or a record of it that can't be read. */
    [[nodiscard]] bool holdsOtherRun(const Record &record);
    /** Returns the time such that records that expired before it have expired by any VM's clock. */
    [[nodiscard]] std::chrono::system_clock::time_point expiredBefore() const;
    void runMaintenance();
    /** Appends the records that are needed longer than the log files that they are in, so that
       these can be removed. Each is copied once in its file's lifetime. */
    void copyNeededForward();
    /** Appends a record again; returns the bytes of text that it read. */
    qsizetype copyForward(std::uint64_t sequence, const RecordName &name);
    void reportSilentMembers();
    /** Reports a silent member that has lost its place to a joining one, if there is one. */
    void reportLostPlaces();
    [[nodiscard]] bool isPlaceLost(const VmIncarnation &peer, TimerService::SteadyTime now) const;
    void reportLostPlace(const VmIncarnation &peer, TimerService::SteadyTime now);
    /** Returns whether this VM, and as many others as it takes, have all records that the members
       had when this one fell silent, so that none depends on its disk. */
    [[nodiscard]] bool isCopiedBeside(const VmIncarnation &silent) const;
    /** Returns from how many other members that have all records these have to be copied so that
       none is missed, if this one is silent. */
    [[nodiscard]] int sourcesBeside(const VmIncarnation &silent) const;
    /** Returns how many members with all records, without the given one, have copied the own
       log up to the position. */
    [[nodiscard]] std::ptrdiff_t membersWithCopiesUpTo(std::uint64_t position,
                                                       const VmIncarnation &exception) const;
    /** Logs and measures for how long the group has been waiting for a silent member, whose disk
       may hold the only copy of a record. */
    void reportAwaitedMember();
    [[nodiscard]] const RecordsMember *awaitedMember() const;
    /** Reports that all members that have all others' records have those of the lost disks too, and
        those of silent leaving members. */
    void reportCopiedPredecessors();
    /** Returns whether all members with all records but the exceptions have copied the own log up
       to the position. */
    [[nodiscard]] bool haveAllCopiesUpTo(std::uint64_t position,
                                         const std::set<VmIncarnation> &exceptions) const;
    /** Returns the leaving members that are silent, unless the others need their records or disks.
     */
    [[nodiscard]] std::set<VmIncarnation> silentLeavingMembers() const;
    /** Returns the number of members that are not silent, this one included, and pass the test. */
    [[nodiscard]] int respondingMembers(const MemberTest &test) const;
    [[nodiscard]] bool isResponding(const VmIncarnation &member) const;
    /** Returns whether another member copies, and may take the place of the silent one. */
    [[nodiscard]] bool hasSuccessorOf(const VmIncarnation &silent) const;
    /** Reports a member that has been silent for long if the group does not need its records. A
        group would otherwise wait for it when a further member leaves or is lost. */
    void reportDispensableMember();
    /** Reports for how long this VM has been joining, and what it waits for. */
    void reportJoining();
    [[nodiscard]] bool isUpToDateStandby(TimerService::SteadyTime now) const;
    /** Returns how many members' records this joining VM must have before it counts as synced. */
    [[nodiscard]] int joiningSources(const RecordsMember &joiner) const;
    /** Returns how many members' records a standby must have before it may replace a member. */
    [[nodiscard]] int takeoverSources(const RecordsMember &standby) const;
    /** Reports once when this VM has copied all records while joining, or the others have
        copied all of its records while it leaves. */
    void checkSynced();

    PeerHub &hub;
    DurableLog &log;
    TimerService &timers;
    MetricsRecorder &metrics;
    RecordsServerHooks hooks;
    RecordIndex index;
    HistoryReader histories;
    RecordsSync sync;
    RecordsView wholeView;
    RecordsView view; ///< of the own group
    QuotaGrants quotas;
    ConfigurationRelay configuration;
    std::set<VmIncarnation> connectedVms; ///< entry VMs and other records VMs
    SilenceAgreement silence;
    /** The last position in the own log when a member was first found silent. */
    std::map<VmIncarnation, std::uint64_t> positionAtSilence;
    TimerService::SteadyTime placeReportedAt; ///< when a lost place was last reported
    VmIncarnation awaited;                    ///< the silent member that the group waits for
    TimerService::SteadyTime awaitedLogged;
    TimerService::SteadyTime viewAdoptedAt;
    /** The last position in the own log when this VM had copied all records of earlier views. */
    std::optional<std::uint64_t> positionWhenCopied;
    TimerService::SteadyTime predecessorsReportedAt;
    /** The position in the own log up to which each member has copied it. */
    std::map<VmIncarnation, std::uint64_t> copiedTo;
    /** Sequence number of the last record stored while copies on this VM counted. The other members
        received all later records directly. */
    std::uint64_t lastCountedSequence = 0;
    /** Start of the time in which this VM is a joining member, but no standby; empty outside it. */
    std::optional<TimerService::SteadyTime> joiningSince;
    TimerService::SteadyTime lateJoiningLogged;
    TimerService::SteadyTime slowWriteLogged;
    std::uint64_t copiedForwardUpTo = 0; ///< position in the own log
    bool syncedReported = false;
    bool copiedReported = false;
    TimerSubscription maintenanceTimer;
    TimerSubscription silenceTimer;
    TimerSubscription quotaTimer;
};

} // namespace lacewingmux
