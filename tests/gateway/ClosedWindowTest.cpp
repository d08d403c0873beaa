#include "support/GatewayFixture.h"

#include <QTcpServer>

#include <criterion/criterion.h>

#include <array>
#include <thread>
#include <tuple>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr qsizetype bodyBytes = 4000000; // above the buffers of both systems

/** A replica that reads nothing of its first request for a time, and then answers it. */
class SlowReader
{
public:
    explicit SlowReader(milliseconds delay)
    {
        this->listener.listen(QHostAddress::LocalHost);
        this->listener.pauseAccepting();
        this->thread = std::thread([this, delay] { this->serve(delay); });
    }

    ~SlowReader()
    {
        this->thread.join();
    }

    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return this->listener.serverPort();
    }

private:
    void serve(milliseconds delay) const
    {
        const auto listening = static_cast<int>(this->listener.socketDescriptor());
        pollfd watched{listening, POLLIN, 0};
        std::ignore = ::poll(&watched, 1, -1);
        const int connection = ::accept(listening, nullptr, nullptr);
        std::this_thread::sleep_for(delay);
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        for (qsizetype total = 0; total < bodyBytes; total += count) {
            count = ::recv(connection, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
        }
        HttpRequest request;
        request.fields = {{"Lacewingmux-Request-Id", "r1"}};
        const QByteArray answer = GatewayFixture::answer(request, "whole");
        std::ignore = ::send(connection, answer.constData(), answer.size(), MSG_NOSIGNAL);
        ::close(connection);
    }

    QTcpServer listener;
    std::thread thread;
};

} // namespace

// TCP_USER_TIMEOUT ends a connection whose peer acknowledges everything but reads nothing.

Test(closed_window, a_replica_that_reads_late_does_not_lose_its_call)
{
    GatewayFixture fixture(0, [](const auto &, const auto &) {});
    fixture.useTimeout(milliseconds(20000));
    const SlowReader replica(milliseconds(4000));
    ReplicaInstance instance;
    instance.id = "slow";
    instance.service = "service";
    instance.zone = "a";
    instance.address = QHostAddress(QHostAddress::LocalHost);
    instance.port = replica.port();
    instance.slots = 4;
    fixture.gateway->setReplicas({instance});
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1", {}, QByteArray(bodyBytes, 'x')));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 200"));
}
