#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QByteArray>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

class Journal;
class TimerService;

/**
    Journals the states of aggregates that changed within one turn of the loop, one entry for each
    aggregate however often it changed. Each entry replaces the one before, so journals stay short.
*/
class CommitBatch
{
public:
    using EntrySource = std::function<QByteArray()>;
    using Callback = std::function<void(bool committed)>;

    CommitBatch(Journal &ownJournal, TimerService &timerService);
    ~CommitBatch();
    CommitBatch(const CommitBatch &) = delete;
    CommitBatch &operator=(const CommitBatch &) = delete;

    /**
        Journals the aggregate at the end of the turn and then calls back. The source is asked for
        the state then; an empty one means that this VM owns the aggregate no longer.
    */
    void commit(const AggregateId &aggregate, EntrySource source, Callback callback);

private:
    struct Pending
    {
        EntrySource source;
        std::vector<Callback> callbacks;
    };

    void flush();

    Journal &journal;
    TimerService &timers;
    std::map<AggregateId, Pending> pendingByAggregate;
    std::shared_ptr<bool> alive; ///< ends posted calls with this
};

} // namespace lacewingmux
