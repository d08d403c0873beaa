#include "lacewingmux_gateway/forwarding/EventSequence.h"

#include <utility>

namespace lacewingmux {

bool EventSequence::accept(QByteArrayView id)
{
    if (id.isEmpty())
        return true;
    bool isNumber = false;
    const std::int64_t number = id.toLongLong(&isNumber);
    if (!isNumber) {
        this->last.reset();
        return true;
    }
    const bool resumed = std::exchange(this->resuming, false);
    if (!this->last) {
        this->last = number;
        return true;
    }
    if (number <= *this->last)
        return false;
    const bool isNext = number - 1 == *this->last;
    if (resumed && this->countsByOne.value_or(false) && !isNext)
        return false;
    this->countsByOne = isNext && this->countsByOne.value_or(true);
    this->last = number;
    return true;
}

} // namespace lacewingmux
