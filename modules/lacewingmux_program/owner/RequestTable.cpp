#include "lacewingmux_program/owner/RequestTable.h"

#include "lacewingmux_core/time/TimerService.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr int statusOk = 200;

} // namespace

RequestTable::RequestTable(TimerService &timerService)
    : timers(timerService)
{ }

OwnerRequestHandle RequestTable::add(const OwnerRequest &request, ResponseSink sink)
{
    const OwnerRequestHandle handle = this->nextHandle++;
    PendingRequest &pending = this->requests[handle];
    pending.request = request;
    pending.sink = std::move(sink);
    this->startTimeout(handle, request.timeout);
    return handle;
}

PendingRequest *RequestTable::find(OwnerRequestHandle handle)
{
    const auto found = this->requests.find(handle);
    return found == this->requests.end() ? nullptr : &found->second;
}

void RequestTable::respond(OwnerRequestHandle handle, int httpStatus,
                           const std::vector<HttpHeader> &headers, const QByteArray &body)
{
    const auto pending = this->take(handle);
    if (!pending)
        return;
    if (pending->sink.begin)
        pending->sink.begin(httpStatus, headers);
    if (pending->sink.chunk && !body.isEmpty())
        pending->sink.chunk(body);
    if (pending->sink.end)
        pending->sink.end();
}

void RequestTable::stream(OwnerRequestHandle handle, const QByteArray &chunk)
{
    PendingRequest *pending = this->find(handle);
    if (pending == nullptr || chunk.isEmpty())
        return;
    const ResponseSink sink = pending->sink;
    if (!std::exchange(pending->headersSent, true) && sink.begin)
        sink.begin(statusOk,
                   {{QByteArrayLiteral("Content-Type"), QByteArrayLiteral("text/event-stream")}});
    if (sink.chunk)
        sink.chunk(chunk);
}

void RequestTable::end(OwnerRequestHandle handle)
{
    const auto pending = this->take(handle);
    if (pending && pending->sink.end)
        pending->sink.end();
}

void RequestTable::fail(OwnerRequestHandle handle, const LacewingmuxError &error)
{
    const auto pending = this->take(handle);
    if (pending && pending->sink.fail)
        pending->sink.fail(error);
}

void RequestTable::drop(OwnerRequestHandle handle)
{
    this->requests.erase(handle);
}

void RequestTable::startTimeout(OwnerRequestHandle handle, std::chrono::milliseconds delay)
{
    if (PendingRequest *pending = this->find(handle))
        pending->timeout = this->timers.after(delay, [this, handle] {
            if (this->onTimeout)
                this->onTimeout(handle);
        });
}

std::vector<OwnerRequestHandle>
RequestTable::select(const std::function<bool(const PendingRequest &)> &predicate) const
{
    std::vector<OwnerRequestHandle> handles;
    for (const auto &[handle, pending] : this->requests) {
        if (predicate(pending))
            handles.push_back(handle);
    }
    return handles;
}

std::optional<PendingRequest> RequestTable::take(OwnerRequestHandle handle)
{
    const auto found = this->requests.find(handle);
    if (found == this->requests.end())
        return std::nullopt;
    std::optional<PendingRequest> pending(std::move(found->second));
    this->requests.erase(found);
    return pending;
}

} // namespace lacewingmux
