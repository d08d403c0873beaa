#pragma once

#include <QByteArray>

namespace lacewingmux {

/** The history of a chain of turns, and the group of records VMs that keeps it. */
struct CachedHistory
{
    QByteArray bytes; ///< inputs and outputs, oldest first
    int group = 0;
};

} // namespace lacewingmux
