#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** One aggregate as the journal keeps it: the entries that rebuild its state, in order. */
struct AggregateRecord
{
    AggregateId id;
    std::vector<QByteArray> entries;
};

} // namespace lacewingmux
