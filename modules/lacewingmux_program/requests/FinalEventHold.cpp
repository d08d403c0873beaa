#include "lacewingmux_program/requests/FinalEventHold.h"

#include <algorithm>

namespace lacewingmux {

namespace {

const QByteArray finalEvent = QByteArrayLiteral("data: [DONE]");

/** Returns how many bytes at the end may be the beginning of the final event. */
qsizetype possibleBeginning(const QByteArray &bytes)
{
    for (qsizetype length = std::min(bytes.size(), finalEvent.size() - 1); length > 0; --length) {
        if (bytes.endsWith(finalEvent.left(length)))
            return length;
    }
    return 0;
}

} // namespace

QByteArray FinalEventHold::feed(const QByteArray &chunk)
{
    this->heldBytes += chunk;
    const qsizetype found = this->heldBytes.indexOf(finalEvent);
    const qsizetype shown =
            found >= 0 ? found : this->heldBytes.size() - possibleBeginning(this->heldBytes);
    const QByteArray bytes = this->heldBytes.left(shown);
    this->heldBytes.remove(0, shown);
    return bytes;
}

} // namespace lacewingmux
