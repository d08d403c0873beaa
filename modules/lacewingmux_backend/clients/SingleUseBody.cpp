#include "lacewingmux_backend/clients/SingleUseBody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace lacewingmux {

SingleUseBody::SingleUseBody(QByteArray content)
    : bytes(std::move(content))
{
    this->open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool SingleUseBody::isUntouched() const noexcept
{
    return this->position == 0 && !this->wasRewound;
}

bool SingleUseBody::isSequential() const
{
    return true;
}

qint64 SingleUseBody::size() const
{
    return this->bytes.size();
}

qint64 SingleUseBody::bytesAvailable() const
{
    return this->bytes.size() - this->position;
}

bool SingleUseBody::atEnd() const
{
    return this->position >= this->bytes.size();
}

bool SingleUseBody::reset()
{
    this->wasRewound = true;
    return false;
}

qint64 SingleUseBody::readData(char *data, qint64 maxSize)
{
    const qint64 length = std::min(maxSize, this->bytesAvailable());
    if (length <= 0)
        return -1;
    std::memcpy(data, this->bytes.constData() + this->position, static_cast<std::size_t>(length));
    this->position += length;
    return length;
}

qint64 SingleUseBody::writeData(const char *, qint64)
{
    return -1;
}

} // namespace lacewingmux
