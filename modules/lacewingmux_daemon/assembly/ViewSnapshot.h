#pragma once

#include "lacewingmux_zone/views/ViewHistory.h"

#include <memory>

namespace lacewingmux {

class FleetViews;
class ZoneView;

/** What the control thread tells the traffic thread about views; immutable. */
struct ViewSnapshot
{
    std::shared_ptr<const FleetViews> fleet; ///< the views of all zones
    std::shared_ptr<const ZoneView> own;     ///< the view of this VM's zone; null before the first
    ViewHistory history;                     ///< of this VM's zone
};

} // namespace lacewingmux
