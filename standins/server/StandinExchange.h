#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>

namespace lacewingmux::standin {

/**
    The way back to the caller of one request. May outlive the connection; writing to one that is
    closed does nothing.
*/
class StandinExchange
{
public:
    explicit StandinExchange(QTcpSocket *callerSocket);
    StandinExchange(const StandinExchange &) = delete;
    StandinExchange &operator=(const StandinExchange &) = delete;

    /** Tells whether the caller is still connected. */
    [[nodiscard]] bool isOpen() const;

    /** Adds a header to the answer; only before the answer begins. */
    void addHeader(const QByteArray &name, const QByteArray &value);

    /** Sends a whole answer. A second call sends it again, as a faulty server might. */
    void answer(int status, const QJsonObject &body);
    void answer(int status, const QByteArray &contentType, const QByteArray &body);

    /** Begins a stream of server-sent events. */
    void beginEvents();

    /** Sends one event of the stream. */
    void event(const QByteArray &data);

    /** Ends the stream and leaves the connection open. */
    void endEvents();

    /** Closes the connection without sending what is missing. */
    void abort();

private:
    void writeHead(int status, const QByteArray &contentType, const QByteArray &framing);

    QPointer<QTcpSocket> socket;
    QByteArray extraHeaders;
};

} // namespace lacewingmux::standin
