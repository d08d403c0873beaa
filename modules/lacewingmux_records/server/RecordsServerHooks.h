#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <cstdint>
#include <functional>

namespace lacewingmux {

/** Notifications from a RecordsServer to the control thread. */
struct RecordsServerHooks
{
    std::function<void()> synced; ///< every record acknowledged elsewhere is on this disk
    std::function<void()> copied; ///< all synced members have every record on this disk
    /** A member has sent nothing for long enough to be replaced. */
    std::function<void(const VmIncarnation &)> memberSilent;
    /** A synced member is silent, and its group has no standby. */
    std::function<void(const VmIncarnation &)> standbyNeeded;
    /** A synced member is silent, and this VM is a standby that has every record of the others. */
    std::function<void(const VmIncarnation &)> standbyCanReplace;
    /** The members agree, under the view with the number, that a silent member has lost its place
        to a joining one. */
    std::function<void(const VmIncarnation &, std::uint64_t viewNumber)> placeLost;
    /** All members that are not joining have the records of the lost disks, whose places are those
       of joining members, as found under the view with the number. */
    std::function<void(std::uint64_t viewNumber)> predecessorsCopied;
    std::function<void(const QByteArray &document)> newerView;
    std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
};

} // namespace lacewingmux
