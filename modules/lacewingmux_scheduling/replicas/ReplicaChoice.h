#pragma once

#include "lacewingmux_scheduling/replicas/PrefixLocation.h"

#include <QString>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** A call for which a replica is to be chosen. */
struct ChoiceRequest
{
    std::int64_t prefixTokens = 0;        ///< history that has to be computed if it isn't cached
    std::optional<PrefixLocation> prefix; ///< from PrefixDirectory::find()
    std::vector<QString> excluded;        ///< replicas that failed this call before
    bool suspect = false; ///< must not share a replica with another suspect, see Quarantine
};

/** The replica chosen for a call. */
struct ReplicaChoice
{
    QString replica;
    std::int64_t expectedCachedTokens = 0;
};

} // namespace lacewingmux
