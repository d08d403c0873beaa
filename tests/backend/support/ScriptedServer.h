#pragma once

#include <QByteArray>
#include <QTcpServer>
#include <QUrl>

#include <functional>
#include <vector>

class QTcpSocket;

namespace lacewingmux {

/** How a scripted server leaves the connection after an answer. */
enum class ConnectionEnd : std::uint8_t { Keep, Close, Reset };

/** What a scripted server does with one request. */
struct ScriptedAnswer
{
    QByteArray bytes; ///< "%ID%" stands for the id of the request
    ConnectionEnd end = ConnectionEnd::Keep;
    /** Whether a second copy of the answer before it on the connection comes late, ahead of this
        one. */
    bool followsLateCopy = false;
};

/** A server whose answers are given byte by byte, one for each request in the order of arrival. The
    last one answers all further requests. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<ScriptedAnswer> scriptedAnswers);

    [[nodiscard]] QUrl url() const;

    int connections = 0;
    std::vector<QByteArray> requests; ///< the first line of each

private:
    void accept();
    void answer(QTcpSocket &socket, QByteArray &previous, const QByteArray &request);

    QTcpServer server;
    std::vector<ScriptedAnswer> answers;
};

} // namespace lacewingmux
