#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/Record.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

class DurableLog;
class RecordIndex;

/**
    Copies the records that this records VM lacks from the other members: all of them after a start,
    and later those that did not arrive directly.

    It pages through the record names of each peer's log and fetches the records that are still
    missing shortly afterwards. After a connection loss it starts from the beginning, because the
    peer may have restarted and renumbered its records. A record that the peer has dropped since, or
    can't read, does not keep the peer's log from counting as copied. It requests one page at a time
    from a peer, however slowly the peer answers, as more requests would only slow it down further.
    The next records are requested while the last ones are written to disk.
*/
class RecordsSync
{
public:
    /** Returns the disk identities of silent members, which are reported to the other members. */
    using SilentDisksFunction = std::function<std::vector<std::uint64_t>()>;

    /** Called when a member has answered a request that was sent at the given time, with whether
       the member recently considered this VM silent. */
    using AnswerFunction = std::function<void(const VmIncarnation &peer,
                                              TimerService::SteadyTime sentAt, bool foundSilent)>;

    /** Stores a fetched record; the callback is invoked once it is on disk. */
    using StoreFunction = std::function<void(const Record &, std::function<void()> durable)>;

    RecordsSync(PeerHub &peerHub, const RecordIndex &recordIndex, TimerService &timerService,
                StoreFunction storeFunction, SilentDisksFunction silentDisksFunction,
                AnswerFunction answerFunction, std::function<void()> progressHook);

    /** Adopts a view; records are copied from its members. */
    void setView(const RecordsView &newView);

    /** Returns the number of synced members whose logs are completely on this disk, as of their
        last answers to requests that were sent at or after the given time. */
    [[nodiscard]] int completedSources(TimerService::SteadyTime sentAfter = {}) const;

    /** Returns the number of synced members of which this VM, at some time, had all records that
        they had named in answers to requests sent at or after the given time. */
    [[nodiscard]] int sourcesCopiedSince(TimerService::SteadyTime sentAfter) const;

    /** Returns whether this VM, at some time, had all records that the member had named in answers
       to requests sent at or after the given time. */
    [[nodiscard]] bool isCopiedSince(const VmIncarnation &member,
                                     TimerService::SteadyTime sentAfter) const;

    /** Returns whether this VM, at some time, had all records that each other member but standbys
        and the exceptions has acknowledged under earlier views than the present one. */
    [[nodiscard]] bool hasCopiedEarlierViews(const std::set<VmIncarnation> &exceptions) const;

    /** Returns whether a member has named the record, and it has to be on this disk before the
        member's log counts as copied. */
    [[nodiscard]] bool isAwaited(const RecordName &name) const;

    /** Records that a record is on this disk, however it arrived. */
    void recordStored(const RecordName &name);

    /** Returns the number of records that members have named and that are not on this disk yet. */
    [[nodiscard]] std::size_t missingCount() const;

private:
    static constexpr std::size_t maximumFetchedRecords = 400;

    struct NamesRequest
    {
        std::uint64_t number = 0;
        std::uint64_t after = 0; ///< the position in the peer's log after which names are requested
        TimerService::SteadyTime sentAt;
    };

    struct FetchRequest
    {
        std::uint64_t number = 0;
        std::vector<RecordName> names; ///< the peer looks them up, and replies, in this order
        TimerService::SteadyTime sentAt;
    };

    struct Source
    {
        std::uint64_t cursor = 0; ///< position in the peer's log up to which its names are known
        bool atEnd = false;       ///< the last answer reached the end of the peer's log
        std::deque<NamesRequest> unanswered; ///< oldest first; several if the peer answers late
        TimerService::SteadyTime answeredAt; ///< send time of the last answered request
        /** The member had adopted the present view, and no older one, when it last answered. */
        bool hasAdoptedView = false;
        /** All records that it named since it had adopted the present view were on this disk. */
        bool isCopiedUnderView = false;
        std::set<RecordName> missing;   ///< named by the peer, but not on this disk
        std::set<RecordName> justNamed; ///< missing records that were first named in this interval
        std::set<RecordName> requested; ///< requested from this peer, not received yet
        std::size_t recordsPerFetch = maximumFetchedRecords; ///< as many as fit in a reply
        std::map<RecordName, qsizetype>
                beingStored;        ///< received, not on disk yet; with their sizes
        qsizetype storingBytes = 0; ///< sum of these sizes
        /** Send time of the last request by whose answer all named records were on this disk. */
        std::optional<TimerService::SteadyTime> completeAt;
        std::deque<FetchRequest> fetches;    ///< unanswered, oldest first
        TimerService::SteadyTime listedFrom; ///< time of the last listing from the beginning
    };

    void checkSources();
    void requestNames(const VmIncarnation &peer, Source &source);
    [[nodiscard]] bool isAnswerPending(const Source &source) const;
    [[nodiscard]] static std::optional<NamesRequest> takeUnanswered(Source &source,
                                                                    std::uint64_t number);
    void fetchMissing(const VmIncarnation &peer, Source &source);
    [[nodiscard]] bool isOnItsWay(const RecordName &name) const;
    [[nodiscard]] bool isJoining() const;
    void handleNames(const VmIncarnation &peer, const PeerFrame &frame);
    void handleRecords(const VmIncarnation &peer, const PeerFrame &frame);
    [[nodiscard]] static std::size_t pendingFetches(const Source &source,
                                                    TimerService::SteadyTime now);
    /** Removes and returns an answered request; the records that its reply omits may be requested
        again. An earlier version does not state which request it answers. */
    [[nodiscard]] static std::optional<FetchRequest> takeAnswered(Source &source,
                                                                  std::uint64_t number);
    /** Adapts the number of records per request to what a reply holds. */
    static void adaptFetchSize(Source &source, std::size_t requested, std::size_t received);
    /** Notes whether all records that the source has named are on this disk. */
    static void noteCompletion(Source &source);
    /** Returns those names of an answered request that the peer could not deliver. */
    [[nodiscard]] static std::vector<RecordName> unavailableOf(const FetchRequest &request,
                                                               const std::vector<Record> &records);
    /** Stops waiting for records that the peer has dropped since it named them, or can't read. */
    static void forgetUnavailable(const VmIncarnation &peer, Source &source,
                                  const std::vector<RecordName> &names);
    /** Pages through the peer's names from the beginning again. */
    void listAgain(const VmIncarnation &peer, Source &source);

    PeerHub &hub;
    const RecordIndex &index;
    TimerService &timers;
    StoreFunction store;
    SilentDisksFunction silentDisks;
    AnswerFunction answerHook;
    std::function<void()> progress;
    RecordsView view;
    std::map<VmIncarnation, Source> sources;
    std::uint64_t lastRequestNumber = 0;
    TimerSubscription timer;
};

} // namespace lacewingmux
