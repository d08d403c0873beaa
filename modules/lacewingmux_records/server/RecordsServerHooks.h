#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <functional>

namespace lacewingmux {

/** What a RecordsServer tells the control thread. */
struct RecordsServerHooks
{
    std::function<void()> synced; ///< everything that was acknowledged elsewhere is on this disk
    std::function<void()> copied; ///< all synced members have everything that is on this disk
    /** A member has sent nothing for long. */
    std::function<void(const VmIncarnation &)> memberSilent;
    /** A synced member is silent, and this VM, which stands by, has all that the others have. */
    std::function<void(const VmIncarnation &)> standbyCanReplace;
    std::function<void(const QByteArray &document)> newerView;
    std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
};

} // namespace lacewingmux
