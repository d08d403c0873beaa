#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <set>

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
    /** A member has been silent for long, and the group neither needs its records nor has a
        member to take its place, as found under the view with the number. */
    std::function<void(const VmIncarnation &, std::uint64_t viewNumber)> silentMemberDispensable;
    /** All members with all records have those of the lost disks, in whose places other members
        still copy, and those of silent leaving members, as found under the view with the number. */
    std::function<void(const std::set<VmIncarnation> &silentLeaving, std::uint64_t viewNumber)>
            predecessorsCopied;
    std::function<void(const QByteArray &document)> newerView;
    std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
};

} // namespace lacewingmux
