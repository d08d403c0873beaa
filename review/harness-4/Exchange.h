#pragma once

#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include <QByteArray>
#include <QHostAddress>
#include <QTcpSocket>

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace lacewingmux::review {

/** The requests of a caller on a connection of its own, one after the other. Each one ends with the
    whole answer, or with the connection. */
class Exchange
{
public:
    using Fields = std::vector<std::pair<QByteArray, QByteArray>>;

    /** Connects and sends the request. */
    Exchange(const QHostAddress &address, std::uint16_t port, const QByteArray &target,
             const Fields &fields, const QByteArray &requestBody);

    /** Sends a further request on the connection, after the answer to the one before. */
    void sendNext(const QByteArray &target, const Fields &fields, const QByteArray &requestBody);

    [[nodiscard]] bool hasEnded() const noexcept
    {
        return this->ended;
    }

    /** Tells whether the answer is whole. */
    [[nodiscard]] bool isWhole() const noexcept
    {
        return this->whole;
    }

    /** Returns the status of the answer; 0 without an answer. */
    [[nodiscard]] int status() const noexcept
    {
        return this->answerStatus;
    }

    [[nodiscard]] const QByteArray &body() const noexcept
    {
        return this->answerBody;
    }

private:
    [[nodiscard]] static QByteArray requestText(const QByteArray &target, const Fields &fields,
                                                const QByteArray &requestBody);
    void read();
    void takeAnswer();
    void handleClose();

    QTcpSocket socket;
    std::unique_ptr<ResponseDecoder> decoder = std::make_unique<ResponseDecoder>(false);
    int answerStatus = 0;
    QByteArray answerBody;
    bool ended = false;
    bool whole = false;
};

} // namespace lacewingmux::review
