#include "http/HttpTestTools.h"

#include <QDeadlineTimer>

namespace lacewingmux::test {

void ensureApplication()
{
    static int argumentCount = 1;
    static char name[] = "test_http";           // NOLINT(modernize-avoid-c-arrays)
    static char *arguments[] = {name, nullptr}; // NOLINT(modernize-avoid-c-arrays)
    if (QCoreApplication::instance() == nullptr)
        static QCoreApplication application(argumentCount, arguments);
}

bool waitUntil(const std::function<bool()> &condition)
{
    const QDeadlineTimer deadline(patience);
    while (!condition()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return true;
}

void turnLoop(std::chrono::milliseconds duration)
{
    const QDeadlineTimer deadline(duration);
    while (!deadline.hasExpired())
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
}

RawCaller::RawCaller(std::uint16_t port)
{
    this->socket.connectToHost(QStringLiteral("127.0.0.1"), port);
    (void)waitUntil([this] { return this->socket.state() == QAbstractSocket::ConnectedState; });
}

void RawCaller::send(const QByteArray &toSend)
{
    this->socket.write(toSend);
    this->socket.flush();
}

bool RawCaller::waitFor(const QByteArray &text)
{
    return waitUntil([this, &text] { return this->received().contains(text); });
}

bool RawCaller::waitForClose()
{
    return waitUntil([this] {
        (void)this->received();
        return this->socket.state() == QAbstractSocket::UnconnectedState;
    });
}

void RawCaller::stopReading()
{
    this->socket.setReadBufferSize(1);
}

void RawCaller::readOn()
{
    this->socket.setReadBufferSize(0);
    this->bytes += this->socket.readAll();
}

void RawCaller::close()
{
    this->socket.abort();
}

const QByteArray &RawCaller::received()
{
    if (this->socket.isOpen())
        this->bytes += this->socket.readAll();
    return this->bytes;
}

int RawCaller::count(const QByteArray &text)
{
    return static_cast<int>(this->received().count(text));
}

} // namespace lacewingmux::test
