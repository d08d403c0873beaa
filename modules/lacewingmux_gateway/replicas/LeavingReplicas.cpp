#include "lacewingmux_gateway/replicas/LeavingReplicas.h"

namespace lacewingmux {

namespace {

// Far longer than a replica takes to leave; bounds the memory for replicas that are gone.
constexpr std::chrono::minutes retention{30};

} // namespace

bool LeavingReplicas::record(const QByteArray &id, std::int64_t startMilliseconds, SteadyTime now)
{
    std::erase_if(this->announcements,
                  [now](const auto &entry) { return now - entry.second > retention; });
    return this->announcements.try_emplace({id, startMilliseconds}, now).second;
}

std::optional<LeavingReplicas::SteadyTime>
LeavingReplicas::leavingSince(const QByteArray &id, std::int64_t startMilliseconds) const
{
    const auto found = this->announcements.find({id, startMilliseconds});
    return found == this->announcements.end() ? std::nullopt : std::optional(found->second);
}

} // namespace lacewingmux
