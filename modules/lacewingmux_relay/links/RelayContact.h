#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_relay/links/RelayState.h"

#include <QByteArray>

#include <set>

namespace lacewingmux {

/** Whether relays serve this VM, and what they know of the store's availability. */
struct RelayContact
{
    RelayState state = RelayState::NotServed;
    /** Since when a relay has reached the store without interruption; set while relays serve. */
    TimerService::SteadyTime storeReachableSince;
    /** The watched prefixes whose contents the relays with recent data send. A relay of an earlier
        build does not send every prefix. */
    std::set<QByteArray> servedPrefixes = {};
};

} // namespace lacewingmux
