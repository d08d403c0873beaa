#pragma once

#include <QString>

namespace lacewingmux {

/** What a ReplicaChooser must know of a replica. */
struct ReplicaDescriptor
{
    QString name;     ///< unique within the pool
    int capacity = 1; ///< sequences it should run at once
};

} // namespace lacewingmux
