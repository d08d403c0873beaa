#include "replica/ScriptedReplica.h"
#include "loops/EventLoop.h"
#include "replica/RawCaller.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace lacewingmux;

// Guards against tests that run at the same time disturbing each other: the port of a replica that
// refuses connections was given to a replica of another test, which then got its requests.
Test(scripted_replica, keeps_its_port_while_it_refuses_connections)
{
    EventLoop loop;
    ScriptedReplica replica([](const HttpRequest &, const ScriptedReplica::Exchange &) {});
    const std::uint16_t port = replica.port();
    replica.stopListening();
    cr_assert_eq(replica.port(), port);

    QTcpSocket caller;
    caller.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    loop.waitUntil([&] { return caller.error() == QAbstractSocket::ConnectionRefusedError; },
                   "the refusal");

    QTcpSocket other; // does not allow the reuse of its address
    cr_assert(!other.bind(QHostAddress(QHostAddress::LocalHost), port,
                          QAbstractSocket::DontShareAddress));
}
