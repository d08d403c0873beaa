#include "Exchange.h"

#include <QNetworkProxy>

namespace lacewingmux::review {

Exchange::Exchange(const QHostAddress &address, std::uint16_t port, const QByteArray &target,
                   const Fields &fields, const QByteArray &requestBody)
{
    const QByteArray text = requestText(target, fields, requestBody);
    this->socket.setProxy(QNetworkProxy::NoProxy);
    QObject::connect(&this->socket, &QTcpSocket::connected, &this->socket,
                     [this, text] { this->socket.write(text); });
    QObject::connect(&this->socket, &QTcpSocket::readyRead, &this->socket,
                     [this] { this->read(); });
    QObject::connect(&this->socket, &QTcpSocket::errorOccurred, &this->socket,
                     [this] { this->handleClose(); });
    this->socket.connectToHost(address, port);
}

void Exchange::sendNext(const QByteArray &target, const Fields &fields,
                        const QByteArray &requestBody)
{
    this->decoder = std::make_unique<ResponseDecoder>(false);
    this->answerStatus = 0;
    this->answerBody.clear();
    this->ended = this->socket.state() != QAbstractSocket::ConnectedState;
    this->whole = false;
    this->socket.write(requestText(target, fields, requestBody));
}

QByteArray Exchange::requestText(const QByteArray &target, const Fields &fields,
                                 const QByteArray &requestBody)
{
    QByteArray text = "POST " + target + " HTTP/1.1\r\nHost: review.example\r\nContent-Length: "
                      + QByteArray::number(requestBody.size()) + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + requestBody;
}

void Exchange::read()
{
    if (this->ended)
        return;
    this->decoder->append(this->socket.readAll());
    this->takeAnswer();
}

void Exchange::takeAnswer()
{
    if (this->decoder->state() >= DecodeState::Body
        && this->decoder->state() <= DecodeState::Complete)
        this->answerStatus = this->decoder->head().status;
    this->answerBody += this->decoder->takeBody();
    this->whole = this->decoder->state() == DecodeState::Complete;
    this->ended = this->decoder->state() >= DecodeState::Complete;
}

void Exchange::handleClose()
{
    if (this->ended)
        return;
    this->read();
    this->ended = true;
}

} // namespace lacewingmux::review
