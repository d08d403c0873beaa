#include "lacewingmux_keyvalue/client/SingleUseBody.h"

#include <algorithm>
#include <cstring>

namespace lacewingmux {

SingleUseBody::SingleUseBody(QByteArray bodyContent)
    : content(std::move(bodyContent))
{
    // Unbuffered, so that a byte leaves this object only when the connection takes it.
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
    return this->content.size();
}

qint64 SingleUseBody::bytesAvailable() const
{
    return this->content.size() - this->position + QIODevice::bytesAvailable();
}

bool SingleUseBody::reset()
{
    this->wasRewound = true;
    return false;
}

qint64 SingleUseBody::readData(char *target, qint64 maximumSize)
{
    const qint64 length = std::min<qint64>(maximumSize, this->content.size() - this->position);
    if (length == 0)
        return this->position == this->content.size() ? -1 : 0;
    std::memcpy(target, this->content.constData() + this->position,
                static_cast<std::size_t>(length));
    this->position += length;
    return length;
}

qint64 SingleUseBody::writeData(const char *, qint64)
{
    return -1;
}

} // namespace lacewingmux
