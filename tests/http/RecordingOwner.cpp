#include "http/RecordingOwner.h"

#include <utility>

namespace lacewingmux::test {

QByteArray rightAnswer(const QString &name)
{
    QByteArray answer;
    for (int line = 0; line < 40; ++line)
        answer += name.toUtf8() + " line " + QByteArray::number(line) + '\n';
    return answer;
}

RecordingOwner::RecordingOwner(TimerService &timerService, RequestRecords &sharedRecords,
                               unsigned seed, std::function<bool(const QString &)> ownsRequest)
    : timers(timerService)
    , records(sharedRecords)
    , random(seed)
    , owns(std::move(ownsRequest))
{ }

RecordingOwner::~RecordingOwner()
{
    *this->alive = false;
    for (const auto &[handle, waiter] : this->waiters) {
        RecordedRequest &record = this->records[waiter.name];
        record.lost = record.lost || record.running;
    }
}

OwnerRequestHandle RecordingOwner::handle(const OwnerRequest &request, ResponseSink sink)
{
    const OwnerRequestHandle handle = this->nextHandle++;
    const QString name = request.programId + u'#' + QString::number(request.callNumber);
    this->waiters.emplace(handle, Waiter{name, std::move(sink), request.stream, {}, false});
    this->later([this, handle, name] {
        const auto found = this->waiters.find(handle);
        if (found == this->waiters.end())
            return;
        if (!this->owns(name)) {
            const ResponseSink refused = found->second.sink;
            this->waiters.erase(found);
            refused.fail(LacewingmuxError(ErrorKind::OwnerUnavailable, QStringLiteral("not me")));
            return;
        }
        this->run(name);
    });
    return handle;
}

void RecordingOwner::callerGone(OwnerRequestHandle request)
{
    this->waiters.erase(request);
}

void RecordingOwner::withdrawKey(const QString &keyId)
{
    Q_UNUSED(keyId);
}

void RecordingOwner::loseOwnership()
{
    std::vector<ResponseSink> failed;
    std::erase_if(this->waiters, [this, &failed](const auto &entry) {
        if (this->owns(entry.second.name))
            return false;
        RecordedRequest &record = this->records[entry.second.name];
        record.lost = record.lost || record.running;
        failed.push_back(entry.second.sink);
        return true;
    });
    for (const ResponseSink &sink : failed)
        sink.fail(LacewingmuxError(ErrorKind::OwnerUnavailable, QStringLiteral("taken over"),
                                   Executed::Unknown));
}

void RecordingOwner::run(const QString &name)
{
    RecordedRequest &record = this->records[name];
    if (record.answer || record.lost) {
        this->answerWaiters(name);
        return;
    }
    if (std::exchange(record.running, true))
        return;
    ++record.runs;
    this->later([this, name] {
        RecordedRequest &finished = this->records[name];
        if (finished.lost || !this->owns(name))
            return;
        finished.running = false;
        finished.answer = rightAnswer(name);
        this->answerWaiters(name);
    });
}

void RecordingOwner::answerWaiters(const QString &name)
{
    std::vector<OwnerRequestHandle> concerned;
    for (const auto &[handle, waiter] : this->waiters) {
        if (waiter.name == name && !waiter.begun)
            concerned.push_back(handle);
    }
    const RecordedRequest record = this->records[name];
    for (const OwnerRequestHandle handle : concerned) {
        Waiter &waiter = this->waiters.at(handle);
        if (!record.answer) {
            const ResponseSink sink = waiter.sink;
            this->waiters.erase(handle);
            sink.fail(LacewingmuxError(ErrorKind::ExecutionUnknown, QStringLiteral("lost"),
                                       Executed::Unknown));
            continue;
        }
        waiter.begun = true;
        QByteArray rest = *record.answer;
        while (!rest.isEmpty()) {
            const int size = std::uniform_int_distribution<int>(1, 400)(this->random);
            waiter.pieces.push_back(rest.left(size));
            rest.remove(0, size);
        }
        waiter.sink.begin(200, {{"X-Name", name.toUtf8()}});
        this->sendNextPiece(handle);
    }
}

void RecordingOwner::sendNextPiece(OwnerRequestHandle handle)
{
    const auto found = this->waiters.find(handle);
    if (found == this->waiters.end())
        return;
    const ResponseSink sink = found->second.sink;
    if (found->second.pieces.empty()) {
        this->waiters.erase(found);
        sink.end();
        return;
    }
    const QByteArray piece = found->second.pieces.front();
    found->second.pieces.erase(found->second.pieces.begin());
    sink.chunk(piece);
    this->later([this, handle] { this->sendNextPiece(handle); });
}

std::chrono::milliseconds RecordingOwner::someTime()
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 30)(this->random));
}

void RecordingOwner::later(std::function<void()> callback)
{
    this->subscriptions.push_back(
            this->timers.after(this->someTime(), [token = this->alive, call = std::move(callback)] {
                if (*token)
                    call();
            }));
}

} // namespace lacewingmux::test
