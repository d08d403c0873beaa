#pragma once

#include "lacewingmux_scheduling/replicas/PrefixLocation.h"

#include <QString>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The properties of a call that determine the choice of its replica. */
struct ChoiceRequest
{
    std::int64_t prefixTokens = 0;        ///< history to be computed unless it is cached
    std::optional<PrefixLocation> prefix; ///< from PrefixDirectory::find()
    std::vector<QString> excluded;        ///< replicas on which this call failed before
    bool suspect = false; ///< must not share a replica with another suspect; see Quarantine
};

/** The replica chosen for a call. */
struct ReplicaChoice
{
    QString replica;
    std::int64_t expectedCachedTokens = 0;
};

} // namespace lacewingmux
