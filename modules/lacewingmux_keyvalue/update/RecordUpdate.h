#pragma once

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QByteArray>

#include <functional>
#include <optional>

namespace lacewingmux {

class PlatformStore;

/**
    Returns the new value of a record for its current one (empty when absent), or nothing when the
    record already is as wanted. It may be called more than once and must give the same effect each
    time. It may throw LacewingmuxError to give up, for example for a conflict.
*/
using RecordChange = std::function<std::optional<QByteArray>(const QByteArray &current)>;

/** Called once, with no error when the record is as wanted. */
using RecordUpdateCallback = std::function<void(std::optional<LacewingmuxError> error)>;

/**
    Reads a record, changes it and writes it back by compare-and-swap, again when another writer
   came first.

    A write whose reply was lost is settled by reading: the change then finds the record as wanted,
   or it is tried again against the revision that now stands, so that the lost write can no longer
   be applied behind it. Fails with StoreUnavailable when nothing was written, and with
    StoreResultUnknown when a write may have been applied and no read would tell.
*/
void updateRecord(PlatformStore &store, const QByteArray &key, RecordChange change,
                  RecordUpdateCallback callback);

} // namespace lacewingmux
