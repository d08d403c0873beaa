#pragma once

#include <QtGlobal>

namespace lacewingmux {

/** The memory that the histories of programs may take on an entry VM. */
struct RecordsClientLimits
{
    qsizetype cacheBytes = 0;          ///< of all cached histories
    qsizetype maximumHistoryBytes = 0; ///< of one history; a longer one is not fetched
};

} // namespace lacewingmux
