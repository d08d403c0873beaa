#include "server/StandinExchange.h"

#include <QJsonDocument>

namespace lacewingmux::standin {

StandinExchange::StandinExchange(QTcpSocket *caller)
    : socket(caller)
{ }

bool StandinExchange::isOpen() const
{
    return this->socket && this->socket->state() == QAbstractSocket::ConnectedState;
}

void StandinExchange::addHeader(const QByteArray &name, const QByteArray &value)
{
    this->extraHeaders += name + ": " + value + "\r\n";
}

void StandinExchange::answer(int status, const QJsonObject &body)
{
    this->answer(status, "application/json",
                 QJsonDocument(body).toJson(QJsonDocument::Compact) + '\n');
}

void StandinExchange::answer(int status, const QByteArray &contentType, const QByteArray &body)
{
    this->writeHead(status, contentType, "Content-Length: " + QByteArray::number(body.size()));
    if (this->isOpen())
        this->socket->write(body);
}

void StandinExchange::beginEvents()
{
    this->writeHead(200, "text/event-stream", "Transfer-Encoding: chunked");
}

void StandinExchange::event(const QByteArray &data)
{
    if (!this->isOpen())
        return;
    const QByteArray text = "data: " + data + "\n\n";
    this->socket->write(QByteArray::number(text.size(), 16) + "\r\n" + text + "\r\n");
}

void StandinExchange::endEvents()
{
    if (this->isOpen())
        this->socket->write("0\r\n\r\n");
}

void StandinExchange::abort()
{
    if (this->socket)
        this->socket->abort();
}

void StandinExchange::writeHead(int status, const QByteArray &contentType,
                                const QByteArray &framing)
{
    if (!this->isOpen())
        return;
    this->socket->write("HTTP/1.1 " + QByteArray::number(status) + " Answer\r\nContent-Type: "
                        + contentType + "\r\n" + this->extraHeaders + framing + "\r\n\r\n");
}

} // namespace lacewingmux::standin
