#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <QString>

#include <map>
#include <memory>
#include <optional>

namespace lacewingmux {

/**
    An immutable snapshot of the views of all zones that this VM knows, passed from the control
    thread to the traffic threads.
*/
class FleetViews
{
public:
    FleetViews() = default;
    explicit FleetViews(std::map<QString, std::shared_ptr<const ZoneView>> viewsByZone);

    /** Returns the view of the zone, or null if none is known. */
    [[nodiscard]] std::shared_ptr<const ZoneView> view(const QString &zone) const;

    /** Returns the owner of the aggregate according to the views known to this VM. */
    [[nodiscard]] std::optional<VmIncarnation> ownerOf(const AggregateId &aggregate) const;

    /** Returns all members of all zones. */
    [[nodiscard]] std::vector<VmDescriptor> allMembers() const;

    [[nodiscard]] const std::map<QString, std::shared_ptr<const ZoneView>> &views() const noexcept
    {
        return this->viewsByZone;
    }

private:
    std::map<QString, std::shared_ptr<const ZoneView>> viewsByZone;
};

} // namespace lacewingmux
