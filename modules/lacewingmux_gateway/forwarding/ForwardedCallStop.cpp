#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include <tuple>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr const char *stoppedReason = "the VM has stopped";
constexpr milliseconds otherVmRetry{50}; // a new connection reaches another VM

} // namespace

void ForwardedCall::beginStop(TimerService::SteadyTime latestEnd)
{
    this->context.latestCallEnd = latestEnd;
    const bool isWaiting = this->phase == Phase::Admitting || this->phase == Phase::Placing;
    if (isWaiting && this->possibleRuns == 0)
        std::ignore = this->admitIfEndsBeforeStop();
}

void ForwardedCall::endWithStop()
{
    switch (this->phase) {
    case Phase::Admitting:
    case Phase::Placing:
        this->refuse(ErrorKind::ShuttingDown, stoppedReason, otherVmRetry);
        break;
    case Phase::Sent:
        this->fail(ErrorKind::BackendTimeout, stoppedReason);
        break;
    case Phase::Streaming:
    case Phase::Storing:
        this->abortResponse(stoppedReason);
        break;
    case Phase::Ended:
        break;
    }
}

bool ForwardedCall::endsBeforeStop() const
{
    return !this->context.latestCallEnd
           || this->deadline.responseDue() <= *this->context.latestCallEnd;
}

bool ForwardedCall::admitIfEndsBeforeStop()
{
    if (this->endsBeforeStop())
        return true;
    this->refuse(ErrorKind::ShuttingDown, "this VM is stopping", otherVmRetry);
    return false;
}

} // namespace lacewingmux
