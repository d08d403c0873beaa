#pragma once

#include <QByteArray>
#include <QIODevice>

namespace lacewingmux {

/**
    The body of a request that may be sent only once.

    QNetworkAccessManager sends a request again by itself when a connection closes before the
    answer, which would apply a write twice or report the conflict of the second try. It has to
    rewind the body for that, and this one can't be rewound, so the request fails instead.
*/
class SingleUseBody final : public QIODevice
{
public:
    explicit SingleUseBody(QByteArray bodyContent);

    /**
        Tells whether the body was neither read nor rewound: then no connection has carried it. The
        head alone may have left all the same.
    */
    [[nodiscard]] bool isUntouched() const noexcept;

    [[nodiscard]] bool isSequential() const override;
    [[nodiscard]] qint64 size() const override;
    [[nodiscard]] qint64 bytesAvailable() const override;

    /** Refuses. */
    bool reset() override;

protected:
    qint64 readData(char *target, qint64 maximumSize) override;
    qint64 writeData(const char *source, qint64 size) override;

private:
    QByteArray content;
    qint64 position = 0;
    bool wasRewound = false; ///< a second sending was tried
};

} // namespace lacewingmux
