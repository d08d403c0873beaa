#include "lacewingmux_program/requests/FinalEventBuffer.h"

#include <algorithm>

namespace lacewingmux {

namespace {

const QByteArray finalEvent = QByteArrayLiteral("data: [DONE]");

/** Returns how many bytes at the end may be the beginning of the final event. */
qsizetype partialMatchLength(const QByteArray &bytes)
{
    for (qsizetype length = std::min(bytes.size(), finalEvent.size() - 1); length > 0; --length) {
        if (bytes.endsWith(finalEvent.left(length)))
            return length;
    }
    return 0;
}

} // namespace

QByteArray FinalEventBuffer::feed(const QByteArray &chunk)
{
    this->heldBytes += chunk;
    const qsizetype found = this->heldBytes.indexOf(finalEvent);
    const qsizetype forwardableLength =
            found >= 0 ? found : this->heldBytes.size() - partialMatchLength(this->heldBytes);
    const QByteArray bytes = this->heldBytes.left(forwardableLength);
    this->heldBytes.remove(0, forwardableLength);
    return bytes;
}

} // namespace lacewingmux
