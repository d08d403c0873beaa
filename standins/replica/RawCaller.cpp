#include "replica/RawCaller.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>

namespace lacewingmux {

RawCaller::RawCaller(std::uint16_t port)
    : socket(std::make_unique<QTcpSocket>())
{
    this->socket->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(this->socket.get(), &QTcpSocket::readyRead, this->socket.get(),
                     [this] { this->bytes += this->socket->readAll(); });
    QObject::connect(this->socket.get(), &QTcpSocket::errorOccurred, this->socket.get(),
                     [this] { this->closed = true; });
    this->socket->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
}

RawCaller::~RawCaller()
{
    QObject::disconnect(this->socket.get(), nullptr, nullptr, nullptr);
}

void RawCaller::send(const QByteArray &text)
{
    if (this->socket->state() == QAbstractSocket::ConnectedState) {
        this->socket->write(text);
        return;
    }
    QObject::connect(this->socket.get(), &QTcpSocket::connected, this->socket.get(),
                     [this, text] { this->socket->write(text); });
}

void RawCaller::sendNow(const QByteArray &text)
{
    this->socket->write(text);
    this->socket->flush();
}

void RawCaller::close()
{
    this->socket->disconnectFromHost();
}

void RawCaller::forget()
{
    this->bytes.clear();
}

} // namespace lacewingmux
