#include "backend/support/ScriptedServer.h"

#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

QByteArray requestIdOf(const QByteArray &request)
{
    const QByteArray field = "\r\nLacewingmux-Request-Id: ";
    const qsizetype found = request.indexOf(field);
    if (found < 0)
        return {};
    const qsizetype start = found + field.size();
    return request.mid(start, request.indexOf("\r\n", start) - start);
}

} // namespace

ScriptedServer::ScriptedServer(std::vector<ScriptedAnswer> scriptedAnswers)
    : answers(std::move(scriptedAnswers))
{
    this->server.listen(QHostAddress::LocalHost);
    QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                     [this] { this->accept(); });
}

QUrl ScriptedServer::url() const
{
    return QUrl(QStringLiteral("http://127.0.0.1:%1").arg(this->server.serverPort()));
}

void ScriptedServer::accept()
{
    QTcpSocket *socket = this->server.nextPendingConnection();
    ++this->connections;
    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                     [this, socket, previous = QByteArray()]() mutable {
                         const QByteArray bytes = socket->readAll();
                         if (bytes.contains(" HTTP/1.1\r\n"))
                             this->answer(*socket, previous, bytes);
                     });
}

void ScriptedServer::answer(QTcpSocket &socket, QByteArray &previous, const QByteArray &request)
{
    const std::size_t index = std::min(this->requests.size(), this->answers.size() - 1);
    this->requests.push_back(request.left(request.indexOf("\r\n")));
    const ScriptedAnswer &answer = this->answers[index];
    QByteArray bytes = answer.bytes;
    bytes.replace("%ID%", requestIdOf(request));
    socket.write(answer.followsLateCopy ? previous + bytes : bytes);
    socket.flush();
    previous = bytes;
    if (answer.end == ConnectionEnd::Close)
        socket.disconnectFromHost();
    else if (answer.end == ConnectionEnd::Reset)
        resetConnection(socket);
}

} // namespace lacewingmux
