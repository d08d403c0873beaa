#include "lacewingmux_http/server/ParserSocket.h"

#include "lacewingmux_http/server/CallerConnection.h"

#include <algorithm>
#include <cstring>

namespace lacewingmux {

ParserSocket::ParserSocket(CallerConnection &owner)
    : QTcpSocket(&owner)
    , owningConnection(owner)
{
    this->setSocketState(ConnectedState);
    this->setOpenMode(ReadWrite);
}

void ParserSocket::feed(const QByteArray &bytes)
{
    this->readable += bytes;
    Q_EMIT this->readyRead();
    // The library keeps all that it has read until the request is whole; it needs none of it.
    if (this->isTransactionStarted())
        this->commitTransaction();
}

bool ParserSocket::hasFailed() const
{
    return this->state() != ConnectedState;
}

qint64 ParserSocket::bytesAvailable() const
{
    return QTcpSocket::bytesAvailable() + this->readable.size();
}

bool ParserSocket::isSequential() const
{
    return true;
}

qint64 ParserSocket::readData(char *data, qint64 maxSize)
{
    const qint64 size = std::min<qint64>(maxSize, this->readable.size());
    std::memcpy(data, this->readable.constData(), static_cast<std::size_t>(size));
    this->readable.remove(0, size);
    return size;
}

qint64 ParserSocket::writeData(const char *data, qint64 size)
{
    Q_UNUSED(data);
    return size;
}

} // namespace lacewingmux
