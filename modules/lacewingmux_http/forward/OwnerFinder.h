#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <QString>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace lacewingmux {

class AggregateId;
class FleetViews;
class PeerHub;

/** Where a request can be sent now. */
struct OwnerLocation
{
    std::optional<VmIncarnation> owner; ///< this VM, or one with a link; nothing for now
    bool zoneUnreachable = false;       ///< whether no VM of the home zone can be reached at all
};

/** Finds who can be asked about a request, from the views and the links that are up. */
class OwnerFinder
{
public:
    explicit OwnerFinder(const PeerHub &trafficHub);

    void adoptViews(std::shared_ptr<const FleetViews> newViews);

    /** Returns the owner of the aggregate. */
    [[nodiscard]] OwnerLocation ownerOf(const AggregateId &aggregate) const;

    /**
        Returns who may serve a request that needs no aggregate: this VM, and after each refusal
        the next member of its zone.
    */
    [[nodiscard]] OwnerLocation anyOwner(std::size_t refusals) const;

    /** Tells whether a newer view has dropped the VM. */
    [[nodiscard]] bool hasLeft(const VmIncarnation &vm) const;

    /** Returns the epoch of the zone's view as far as this VM knows; 0 for an unknown zone. */
    [[nodiscard]] std::uint64_t epochOf(const QString &zone) const;

private:
    [[nodiscard]] bool isReachable(const QString &zone) const;

    const PeerHub &hub;
    std::shared_ptr<const FleetViews> views;
};

} // namespace lacewingmux
