#include "lacewingmux_gateway/forwarding/EventSequence.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace lacewingmux {

namespace {

/** Returns the number; nothing if the id is none. */
std::optional<std::int64_t> numberOf(QByteArrayView id)
{
    bool isNumber = false;
    const std::int64_t number = id.toLongLong(&isNumber);
    return isNumber ? std::optional(number) : std::nullopt;
}

} // namespace

bool EventSequence::accept(QByteArrayView id)
{
    if (id.isEmpty())
        return true;
    const std::optional<std::int64_t> number = numberOf(id);
    if (!number) {
        this->last.reset();
        return true;
    }
    const bool resumed = std::exchange(this->resuming, false);
    if (!this->last) {
        this->last = number;
        return true;
    }
    if (*number <= *this->last)
        return false;
    const bool isNext = *number - 1 == *this->last;
    if (resumed && this->countsByOne.value_or(false) && !isNext)
        return false;
    this->countsByOne = isNext && this->countsByOne.value_or(true);
    this->last = number;
    return true;
}

bool EventSequence::dependsOnNext(QByteArrayView id) const
{
    if (!this->resuming || !this->last || this->countsByOne)
        return false;
    const std::optional<std::int64_t> number = numberOf(id);
    return number && *number > *this->last && *number - 1 != *this->last;
}

bool EventSequence::acceptBefore(QByteArrayView id, QByteArrayView nextId)
{
    const std::optional<std::int64_t> number = numberOf(id);
    const std::optional<std::int64_t> next = numberOf(nextId);
    const bool leavesGap =
            this->dependsOnNext(id) && next && *next > *number && *next - 1 == *number;
    return !leavesGap && this->accept(id);
}

} // namespace lacewingmux
