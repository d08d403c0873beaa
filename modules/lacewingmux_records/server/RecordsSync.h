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
    Copies from the other members what this records VM lacks: everything after a start, and later
    whatever did not reach it directly.

    It walks along each peer's log by the names of its records, and fetches those that are still
    missing a moment later. A link that broke starts the walk anew, because the peer may have been
    restarted and have numbered its records again. A peer is asked for one page at a time, however
    slowly it answers: more questions would only make it slower.
*/
class RecordsSync
{
public:
    /** Returns the disks of members that were not heard for long, to tell the others. */
    using SilentFunction = std::function<std::vector<std::uint64_t>()>;

    /** Told that a member has answered a question that was asked at the given time. */
    using AnswerFunction =
            std::function<void(const VmIncarnation &peer, TimerService::SteadyTime askedAt)>;

    /** Stores a record that was fetched; the callback tells when it is on disk. */
    using StoreFunction = std::function<void(const Record &, std::function<void()> durable)>;

    RecordsSync(PeerHub &peerHub, const RecordIndex &recordIndex, TimerService &timerService,
                StoreFunction storeFunction, SilentFunction silentFunction,
                AnswerFunction answerFunction, std::function<void()> progressHook);

    /** Takes the members to copy from. */
    void setView(const RecordsView &newView);

    /** Returns how many synced members' logs this VM has on disk up to their ends, as of their
        last answers to questions that were asked after the given time. */
    [[nodiscard]] int completedSources(TimerService::SteadyTime askedAfter = {}) const;

private:
    struct Question
    {
        std::uint64_t number = 0;
        std::uint64_t after = 0; ///< the place in the peer's log behind which it asks
        TimerService::SteadyTime askedAt;
    };

    struct Source
    {
        std::uint64_t cursor = 0;            ///< the peer's names are known up to here
        bool atEnd = false;                  ///< the last answer reached the end of its log
        std::deque<Question> unanswered;     ///< oldest first; more than one when the peer is late
        TimerService::SteadyTime answeredAt; ///< when the last question was asked that it answered
        std::set<RecordName> missing;        ///< named by the peer, not on this disk
        std::set<RecordName> fresh;          ///< of the missing ones: named in this round only
        std::set<RecordName> requested;      ///< asked of this peer, and not answered yet
        TimerService::SteadyTime requestedAt;
    };

    void tick();
    void ask(const VmIncarnation &peer, Source &source);
    [[nodiscard]] bool isAwaited(const Source &source) const;
    [[nodiscard]] static std::optional<Question> takeQuestion(Source &source, std::uint64_t number);
    void fetchMissing(const VmIncarnation &peer, Source &source);
    [[nodiscard]] bool isRequested(const RecordName &name) const;
    [[nodiscard]] bool isJoining() const;
    void handleNames(const VmIncarnation &peer, const PeerFrame &frame);
    void handleRecords(const VmIncarnation &peer, const PeerFrame &frame);
    void noteStored(const RecordName &name);

    PeerHub &hub;
    const RecordIndex &index;
    TimerService &timers;
    StoreFunction store;
    SilentFunction silent;
    AnswerFunction answered;
    std::function<void()> progress;
    RecordsView view;
    std::map<VmIncarnation, Source> sources;
    std::uint64_t lastQuestion = 0;
    TimerSubscription timer;
};

} // namespace lacewingmux
