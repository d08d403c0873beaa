#pragma once

#include <QByteArray>
#include <QIODevice>

namespace lacewingmux {

/**
    A request body that can be read once.

    QNetworkAccessManager sends a request again by itself when the server closes the connection
    before it answers, also on a new connection and for methods that are not idempotent. It rewinds
    the body first; this body refuses, which ends the request with
    QNetworkReply::ContentReSendError instead. So every request leaves at most once, and every
    retry is the dispatcher's own.
*/
class SingleUseBody final : public QIODevice
{
public:
    explicit SingleUseBody(QByteArray content);
    SingleUseBody(const SingleUseBody &) = delete;
    SingleUseBody &operator=(const SingleUseBody &) = delete;

    /** Tells whether the body was neither read nor rewound: then no connection has carried it. The
        head alone may have left all the same. */
    [[nodiscard]] bool isUntouched() const noexcept;

    [[nodiscard]] bool isSequential() const override;
    [[nodiscard]] qint64 size() const override;
    [[nodiscard]] qint64 bytesAvailable() const override;
    [[nodiscard]] bool atEnd() const override;
    bool reset() override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 maxSize) override;

private:
    QByteArray bytes;
    qint64 position = 0;
    bool wasRewound = false; ///< a second sending was tried
};

} // namespace lacewingmux
