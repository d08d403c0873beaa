#pragma once

#include <QString>

namespace lacewingmux {

/** The static properties of a replica that ReplicaChooser uses. */
struct ReplicaDescriptor
{
    QString name;     ///< unique within the pool
    int capacity = 1; ///< sequences that it should run concurrently
};

} // namespace lacewingmux
