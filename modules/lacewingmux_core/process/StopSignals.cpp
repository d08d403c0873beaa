#include "lacewingmux_core/process/StopSignals.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QSocketNotifier>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>

#include <fcntl.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr std::array<int, 2> stopSignals{SIGTERM, SIGINT};
constexpr char stopByte = 1;
constexpr char reloadByte = 2;

volatile std::sig_atomic_t writeEnd = -1;

extern "C" void noteSignal(int signal)
{
    const int savedError = errno;
    const char byte = signal == SIGHUP ? reloadByte : stopByte;
    // A full pipe holds a byte for this signal already.
    [[maybe_unused]] const ssize_t written = ::write(static_cast<int>(writeEnd), &byte, 1);
    errno = savedError;
}

void setHandler(int signal, void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(signal, &action, nullptr);
}

} // namespace

StopSignals::StopSignals(std::function<void()> stopRequested, std::function<void()> reloadRequested)
    : stop(std::move(stopRequested))
    , reload(std::move(reloadRequested))
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
    for (const int signal : stopSignals)
        setHandler(signal, noteSignal);
    if (this->reload)
        setHandler(SIGHUP, noteSignal);
}

StopSignals::~StopSignals()
{
    for (const int signal : stopSignals)
        setHandler(signal, SIG_DFL);
    if (this->reload)
        setHandler(SIGHUP, SIG_DFL);
    this->notifier.reset();
    ::close(this->readEnd);
    ::close(static_cast<int>(writeEnd));
    writeEnd = -1;
}

void StopSignals::drainPipe()
{
    std::array<char, 16> bytes{};
    bool stopSeen = false;
    bool reloadSeen = false;
    for (ssize_t count = ::read(this->readEnd, bytes.data(), bytes.size()); count > 0;
         count = ::read(this->readEnd, bytes.data(), bytes.size())) {
        const char *const begin = bytes.data();
        const char *const end = begin + count;
        stopSeen = stopSeen || std::find(begin, end, stopByte) != end;
        reloadSeen = reloadSeen || std::find(begin, end, reloadByte) != end;
    }
    if (reloadSeen && this->reload)
        this->reload();
    if (stopSeen)
        this->stop();
}

} // namespace lacewingmux
