#include "lacewingmux_daemon/process/StopSignals.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QSocketNotifier>

#include <array>
#include <cerrno>
#include <csignal>

#include <fcntl.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr std::array<int, 2> stopSignals{SIGTERM, SIGINT};

volatile std::sig_atomic_t writeEnd = -1;

extern "C" void noteStopSignal(int)
{
    const int savedError = errno;
    const char byte = 1;
    // A full pipe holds a byte for this signal already.
    [[maybe_unused]] const ssize_t written = ::write(static_cast<int>(writeEnd), &byte, 1);
    errno = savedError;
}

void setHandler(void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    for (const int signal : stopSignals)
        sigaction(signal, &action, nullptr);
}

} // namespace

StopSignals::StopSignals(std::function<void()> stopRequested)
    : callback(std::move(stopRequested))
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot make a pipe for signals"));
    this->readEnd = ends[0];
    writeEnd = ends[1];
    this->notifier = std::make_unique<QSocketNotifier>(this->readEnd, QSocketNotifier::Read);
    QObject::connect(this->notifier.get(), &QSocketNotifier::activated, this->notifier.get(),
                     [this] { this->drainPipe(); });
    setHandler(noteStopSignal);
}

StopSignals::~StopSignals()
{
    setHandler(SIG_DFL);
    this->notifier.reset();
    ::close(this->readEnd);
    ::close(static_cast<int>(writeEnd));
    writeEnd = -1;
}

void StopSignals::drainPipe()
{
    std::array<char, 16> bytes{};
    while (::read(this->readEnd, bytes.data(), bytes.size()) > 0) { }
    this->callback();
}

} // namespace lacewingmux
