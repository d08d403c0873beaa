#include "lacewingmux_allowance/owner/CommitBatch.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/journal/Journal.h"

#include <utility>

namespace lacewingmux {

CommitBatch::CommitBatch(Journal &ownJournal, TimerService &timerService)
    : journal(ownJournal)
    , timers(timerService)
    , alive(std::make_shared<bool>(true))
{ }

CommitBatch::~CommitBatch()
{
    *this->alive = false;
}

void CommitBatch::commit(const AggregateId &aggregate, EntrySource source, Callback callback)
{
    if (this->pendingByAggregate.empty()) {
        this->timers.post([this, token = this->alive] {
            if (*token)
                this->flush();
        });
    }
    Pending &pending = this->pendingByAggregate[aggregate];
    pending.source = std::move(source);
    pending.callbacks.push_back(std::move(callback));
}

void CommitBatch::flush()
{
    auto batch = std::exchange(this->pendingByAggregate, {});
    for (auto &[aggregate, pending] : batch) {
        const auto finish = [token = this->alive,
                             callbacks = std::move(pending.callbacks)](bool committed) {
            for (const Callback &callback : callbacks) {
                if (*token)
                    callback(committed);
            }
        };
        const QByteArray entry = pending.source();
        if (entry.isEmpty()) {
            finish(false);
            continue;
        }
        this->journal.replace(aggregate, entry, [finish](AppendOutcome outcome) {
            finish(outcome == AppendOutcome::Committed);
        });
    }
}

} // namespace lacewingmux
