#pragma once

#include <QByteArray>

namespace lacewingmux {

/**
    Passes a stream of server-sent events through as it arrives, but holds the final event back
    until the response is recorded, so that a caller who has received the end can rely on the
    response being stored.
*/
class FinalEventBuffer
{
public:
    /** Adds a chunk and returns the bytes that may be forwarded now, possibly none. */
    [[nodiscard]] QByteArray feed(const QByteArray &chunk);

    /** Returns the bytes held back. */
    [[nodiscard]] const QByteArray &held() const noexcept
    {
        return this->heldBytes;
    }

private:
    QByteArray heldBytes;
};

} // namespace lacewingmux
