#include "lacewingmux_config/records/RecordEditor.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_platform/store/PlatformStore.h"

#include <QUuid>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds settlePause{250};
constexpr int conflictLimit = 20; ///< attempts of an edit before it gives up

} // namespace

/** One edit under way. */
struct RecordEditor::Task
{
    Edit change;
    Callback callback;
    std::optional<std::uint64_t> expectedRevision; ///< empty when any revision will do
    bool readOnly = false;
    RevisionedRecord before;
    std::int64_t beforeModRevision = 0;
    RevisionedRecord after;
    QByteArray value;
    bool mayStand = false; ///< whether a write was sent whose reply was lost
    std::optional<TimerService::SteadyTime> settleDeadline;
    int conflicts = 0;
    QString refusal;
    std::optional<RevisionedRecord> current;
};

RecordEditor::RecordEditor(PlatformStore &platformStore, TimerService &timerService,
                           QByteArray recordKey, QString authorName)
    : store(platformStore)
    , timers(timerService)
    , key(std::move(recordKey))
    , author(std::move(authorName))
    , alive(std::make_shared<bool>(true))
{ }

void RecordEditor::read(Callback callback)
{
    const auto task = std::make_shared<Task>();
    task->callback = std::move(callback);
    task->readOnly = true;
    this->begin(task);
}

void RecordEditor::replace(std::uint64_t expectedRevision, const QJsonObject &document,
                           Callback callback)
{
    const auto task = std::make_shared<Task>();
    task->change = [document](const RevisionedRecord &) { return document; };
    task->callback = std::move(callback);
    task->expectedRevision = expectedRevision;
    this->begin(task);
}

void RecordEditor::edit(Edit change, Callback callback)
{
    const auto task = std::make_shared<Task>();
    task->change = std::move(change);
    task->callback = std::move(callback);
    this->begin(task);
}

void RecordEditor::begin(const std::shared_ptr<Task> &task)
{
    this->store.read(this->key,
                     [this, task, guard = std::weak_ptr<bool>(this->alive)](const auto &records) {
                         if (!guard.expired())
                             this->handleRead(task, records);
                     });
}

void RecordEditor::handleRead(const std::shared_ptr<Task> &task,
                              const std::optional<std::vector<StoreRecord>> &records)
{
    if (!records) {
        this->end(task, RecordEditOutcome::Unavailable);
        return;
    }
    task->before = {};
    task->beforeModRevision = 0;
    task->current.reset();
    if (!records->empty()) {
        task->current = RevisionedRecord::parse(records->front().value);
        task->before = task->current.value_or(RevisionedRecord());
        task->beforeModRevision = records->front().modRevision;
    }
    if (task->readOnly)
        this->end(task, RecordEditOutcome::Applied);
    else if (task->expectedRevision && *task->expectedRevision != task->before.revision)
        this->end(task, RecordEditOutcome::Conflict);
    else
        this->prepare(task);
}

void RecordEditor::prepare(const std::shared_ptr<Task> &task)
{
    const QString writeId = QUuid::createUuid().toString(QUuid::WithoutBraces);
    try {
        task->after = task->before.next(task->change(task->before), writeId, this->author,
                                        this->timers.wallNow());
    } catch (const LacewingmuxError &error) {
        task->refusal = error.message();
        this->end(task, RecordEditOutcome::Refused);
        return;
    }
    task->value = task->after.serialize();
    if (task->value.size() > valueLimitBytes)
        this->end(task, RecordEditOutcome::TooLarge);
    else
        this->write(task);
}

void RecordEditor::write(const std::shared_ptr<Task> &task)
{
    this->store.compareAndSwap(
            this->key, task->beforeModRevision, task->value,
            [this, task, guard = std::weak_ptr<bool>(this->alive)](const auto &result) {
                if (!guard.expired())
                    this->handleWrite(task, result);
            });
}

void RecordEditor::handleWrite(const std::shared_ptr<Task> &task,
                               const CompareAndSwapResult &result)
{
    switch (result.outcome) {
    case CompareAndSwapOutcome::Applied:
        task->current = task->after;
        this->end(task, RecordEditOutcome::Applied);
        return;
    case CompareAndSwapOutcome::Conflict:
        this->handleConflict(task, result);
        return;
    case CompareAndSwapOutcome::Unknown:
        task->mayStand = true;
        this->settle(task);
        return;
    case CompareAndSwapOutcome::NotSent:
        if (task->mayStand)
            this->settle(task);
        else
            this->end(task, RecordEditOutcome::Unavailable);
        return;
    }
}

void RecordEditor::handleConflict(const std::shared_ptr<Task> &task,
                                  const CompareAndSwapResult &result)
{
    task->current.reset();
    if (result.current)
        task->current = RevisionedRecord::parse(result.current->value);
    if (task->current && task->current->revisionOf(task->after.writeId)) {
        this->end(task, RecordEditOutcome::Applied);
        return;
    }
    const bool historyReaches =
            task->current
            && task->current->revision <= task->before.revision + RevisionedRecord::historyLength;
    if (task->mayStand && !historyReaches) {
        this->end(task, RecordEditOutcome::Unknown);
        return;
    }
    if (task->expectedRevision || ++task->conflicts >= conflictLimit) {
        this->end(task, RecordEditOutcome::Conflict);
        return;
    }
    task->mayStand = false;
    task->settleDeadline.reset();
    this->begin(task);
}

void RecordEditor::settle(const std::shared_ptr<Task> &task)
{
    if (!task->settleDeadline)
        task->settleDeadline = this->timers.now() + settleTimeout;
    if (this->timers.now() >= *task->settleDeadline) {
        task->current.reset();
        this->end(task, RecordEditOutcome::Unknown);
        return;
    }
    this->settleTimer = this->timers.after(settlePause, [this, task] { this->write(task); });
}

void RecordEditor::end(const std::shared_ptr<Task> &task, RecordEditOutcome outcome)
{
    RecordEditResult result;
    result.outcome = outcome;
    result.current = task->current;
    result.refusal = task->refusal;
    if (outcome == RecordEditOutcome::Applied && !task->readOnly)
        result.appliedRevision = task->after.revision;
    const Callback callback = std::move(task->callback);
    callback(result);
}

} // namespace lacewingmux
