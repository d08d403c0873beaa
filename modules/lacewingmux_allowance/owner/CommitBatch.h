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
    Collects the aggregates that changed during one event loop iteration and journals one entry for
    each, however often it changed. Each entry replaces the previous one, which keeps journals
    short.
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
        Journals the aggregate at the end of the iteration and then calls back. The state is taken
        from the source at that time; an empty one means that this VM no longer owns the aggregate.
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
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux
