#include "lacewingmux_allowance/shares/LocalShare.h"

#include <algorithm>

namespace lacewingmux {

LocalShare::LocalShare(const ShareCounters &counters)
    : known(true)
    , shareCounters(counters)
{ }

void LocalShare::merge(const ShareCounters &recorded)
{
    this->known = true;
    this->shareCounters.initial = recorded.initial;
    this->shareCounters.received = std::max(this->shareCounters.received, recorded.received);
    this->shareCounters.given = std::max(this->shareCounters.given, recorded.given);
}

std::uint64_t LocalShare::withdraw(std::uint64_t parts)
{
    const std::uint64_t given = std::min(parts, this->shareCounters.parts());
    this->shareCounters.given += given;
    return given;
}

} // namespace lacewingmux
