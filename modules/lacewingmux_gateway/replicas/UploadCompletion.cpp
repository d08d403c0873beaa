#include "lacewingmux_gateway/replicas/UploadCompletion.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds checkInterval{5};
// Time in which a process that ends with bytes unread, which its system had acknowledged, resets
// the connection.
constexpr std::chrono::milliseconds resetDelay{100};

} // namespace

UploadCompletion::UploadCompletion(int socketDescriptor, std::vector<QByteArray> unsentParts,
                                   TimerService &timerService, EndedHook endedHook)
    : descriptor(socketDescriptor)
    , unsent(std::move(unsentParts))
    , timers(timerService)
    , ended(std::move(endedHook))
{
    std::ranges::reverse(this->unsent);
    this->timer = this->timers.every(checkInterval, [this] { this->continueUpload(); });
}

UploadCompletion::~UploadCompletion() = default;

bool UploadCompletion::hasUnacknowledged(int socketDescriptor)
{
    int bytes = 0;
    return ::ioctl(socketDescriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void UploadCompletion::continueUpload()
{
    const bool wasReset = !this->writeUnsent() || this->isReset();
    if (!wasReset && (!this->unsent.empty() || hasUnacknowledged(this->descriptor)))
        return;
    const TimerService::SteadyTime now = this->timers.now();
    if (!this->acknowledgedAt)
        this->acknowledgedAt = now;
    if (!wasReset && now - *this->acknowledgedAt < resetDelay)
        return;
    this->timer.cancel();
    const EndedHook hook = std::exchange(this->ended, nullptr);
    hook(wasReset);
}

bool UploadCompletion::writeUnsent()
{
    while (!this->unsent.empty()) {
        const QByteArray &part = this->unsent.back();
        const auto left = static_cast<std::size_t>(part.size() - this->writtenOfPart);
        const ssize_t written = ::send(this->descriptor, part.constData() + this->writtenOfPart,
                                       left, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (written < 0)
            return errno == EAGAIN || errno == EINTR;
        this->writtenOfPart += written;
        if (this->writtenOfPart < part.size())
            continue;
        this->unsent.pop_back();
        this->writtenOfPart = 0;
    }
    return true;
}

bool UploadCompletion::isReset() const
{
    pollfd watched{this->descriptor, POLLIN, 0};
    return ::poll(&watched, 1, 0) < 0 || (watched.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace lacewingmux
