#pragma once

#include <QByteArray>

namespace lacewingmux {

/**
    Lets a stream of server-sent events through as it arrives, but holds its final event back until
    the answer is recorded, so that a caller who saw the end can rely on it.
*/
class FinalEventBuffer
{
public:
    /** Takes a chunk and returns the bytes that may be shown now; possibly none. */
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
