#pragma once

#include <QByteArray>
#include <QTcpSocket>

namespace lacewingmux {

class CallerConnection;

/**
    The socket that Qt's HTTP server reads from: it gives the library's parser the bytes that a
    CallerConnection has let through, and nothing else. It has no descriptor of its own; what the
    library writes to it is dropped, since answers go out through the connection.
*/
class ParserSocket final : public QTcpSocket
{
public:
    explicit ParserSocket(CallerConnection &owner);

    [[nodiscard]] CallerConnection &connection() const noexcept
    {
        return this->owningConnection;
    }

    /** Lets the parser read the bytes; at the end of a request the server's handler runs. */
    void feed(const QByteArray &bytes);

    /** Tells whether the parser has found the bytes malformed and given up. */
    [[nodiscard]] bool hasFailed() const;

    [[nodiscard]] qint64 bytesAvailable() const override;
    [[nodiscard]] bool isSequential() const override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 size) override;

private:
    CallerConnection &owningConnection;
    QByteArray readable;
};

} // namespace lacewingmux
