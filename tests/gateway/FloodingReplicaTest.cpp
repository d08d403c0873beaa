#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaRequest.h"
#include "lacewingmux_gateway/replicas/SharedReading.h"
#include "loops/EventLoop.h"
#include "replica/ScriptedReplica.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a replica that sends faster than its bytes can be handled: the process must not
// take what the system holds for its connections all at once.

namespace {

constexpr qsizetype largestPiece = qsizetype{64} * 1024;
// Of all connections together.
constexpr qsizetype largestTurn = qsizetype{256} * 1024;
constexpr qsizetype longBody = qsizetype{8} * 1024 * 1024;

/** What one connection has delivered of the response to its request. */
class ReadExchange
{
public:
    ReadExchange(TimerService &timers, std::uint16_t port,
                 const std::shared_ptr<SharedReading> &reading)
        : connection(std::make_unique<ReplicaConnection>(
                StreamRoute{QHostAddress(QHostAddress::LocalHost), port, nullptr, {}}, timers,
                reading))
    {
        ReplicaConnection::Hooks hooks;
        hooks.attribute = [](const HttpResponseHead &) { return ResponseAttribution::Own; };
        hooks.head = [](const HttpResponseHead &) {};
        hooks.body = [this](const QByteArray &bytes) {
            this->bodyBytes += bytes.size();
            this->largest = std::max(this->largest, bytes.size());
        };
        hooks.complete = [this] { this->isComplete = true; };
        hooks.failed = [this](ExchangeFailure reason) { this->failure = reason; };
        this->connection->exchange({"r1", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", false},
                                   std::move(hooks));
    }

    [[nodiscard]] bool hasEnded() const
    {
        return this->isComplete || this->failure;
    }

    qsizetype bodyBytes = 0;
    qsizetype largest = 0; ///< bytes of a body that came at once
    bool isComplete = false;
    std::optional<ExchangeFailure> failure;
    std::unique_ptr<ReplicaConnection> connection;
};

QByteArray headWithLength(qsizetype length)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(length) + "\r\n\r\n";
}

} // namespace

Test(flooding_replica, is_read_in_small_pieces)
{
    EventLoop loop;
    ScriptedReplica replica([](const auto &, const auto &exchange) {
        exchange.writeNow(headWithLength(longBody) + QByteArray(longBody, 'x'));
    });
    ReadExchange read(loop.timers, replica.port(), std::make_shared<SharedReading>(loop.timers));
    loop.waitUntil([&] { return read.hasEnded(); }, "the end of the response");
    cr_assert(read.isComplete);
    cr_assert_eq(read.bodyBytes, longBody);
    cr_assert_leq(read.largest, largestPiece);
}

Test(flooding_replica, that_closes_loses_nothing_that_it_has_sent)
{
    EventLoop loop;
    ScriptedReplica replica([](const auto &, const auto &exchange) {
        exchange.writeNow("HTTP/1.1 200 OK\r\n\r\n" + QByteArray(longBody, 'x'));
        exchange.close();
    });
    ReadExchange read(loop.timers, replica.port(), std::make_shared<SharedReading>(loop.timers));
    loop.waitUntil([&] { return read.hasEnded(); }, "the end of the response");
    cr_assert(read.isComplete);
    cr_assert_eq(read.bodyBytes, longBody);
}

Test(flooding_replica, that_resets_a_body_without_a_length_does_not_end_it)
{
    EventLoop loop;
    ScriptedReplica replica([](const auto &, const auto &exchange) {
        exchange.writeNow("HTTP/1.1 200 OK\r\n\r\n" + QByteArray(largestPiece * 8, 'x'));
        exchange.reset();
    });
    ReadExchange read(loop.timers, replica.port(), std::make_shared<SharedReading>(loop.timers));
    loop.waitUntil([&] { return read.hasEnded(); }, "the end of the response");
    cr_assert(!read.isComplete);
}

Test(flooding_replica, bytes_behind_a_response_keep_its_connection_from_being_used_again)
{
    // The response and what follows it meet at each place in what is read at once.
    constexpr qsizetype pieceBytes = largestPiece / 4;
    EventLoop loop;
    qsizetype length = 0;
    ScriptedReplica replica([&length](const auto &, const auto &exchange) {
        exchange.writeNow(headWithLength(length) + QByteArray(length, 'x')
                          + headWithLength(pieceBytes) + QByteArray(pieceBytes, 'y'));
    });
    for (length = pieceBytes - 100; length < pieceBytes; ++length) {
        ReadExchange read(loop.timers, replica.port(),
                          std::make_shared<SharedReading>(loop.timers));
        loop.waitUntil([&] { return read.hasEnded(); }, "the end of the response");
        cr_assert(read.isComplete);
        read.connection->setReusableUntil(loop.timers.now() + milliseconds(5000));
        cr_assert(!read.connection->isReusable() || read.connection->hasUnreadInput());
        loop.waitUntil([&] { return !read.connection->isReusable(); }, "the other bytes");
        cr_assert(!read.connection->trailingBytes().isEmpty());
    }
}

Test(flooding_replica, does_not_take_whole_turns_of_the_event_loop_with_others)
{
    constexpr std::size_t connections = 40;
    constexpr qsizetype bodySize = qsizetype{512} * 1024;
    EventLoop loop;
    ScriptedReplica replica([](const auto &, const auto &exchange) {
        exchange.writeNow(headWithLength(bodySize) + QByteArray(bodySize, 'x'));
    });
    const auto reading = std::make_shared<SharedReading>(loop.timers);
    std::vector<std::unique_ptr<ReadExchange>> reads;
    reads.reserve(connections);
    for (std::size_t number = 0; number < connections; ++number)
        reads.push_back(std::make_unique<ReadExchange>(loop.timers, replica.port(), reading));
    const auto bytesRead = [&reads] {
        qsizetype sum = 0;
        for (const auto &read : reads)
            sum += read->bodyBytes;
        return sum;
    };
    qsizetype before = 0;
    qsizetype most = 0;
    std::function<void()> endTurn = [&] {
        most = std::max(most, bytesRead() - std::exchange(before, bytesRead()));
        loop.timers.post(endTurn);
    };
    endTurn();
    loop.waitUntil([&] { return bytesRead() == qsizetype{connections} * bodySize; },
                   "all responses");
    endTurn = [] {};
    loop.runFor(milliseconds(10));
    cr_assert_leq(most, largestTurn);
    cr_assert(std::all_of(reads.begin(), reads.end(),
                          [](const auto &read) { return read->isComplete; }));
}
