#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** An aggregate as stored in the journal: the entries that rebuild its state, in order. */
struct AggregateRecord
{
    AggregateId id;
    std::vector<QByteArray> entries;
};

} // namespace lacewingmux
