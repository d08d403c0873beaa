#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/views/SlotPlacement.h"

#include <QString>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    The live VMs of one availability zone under one epoch.

    Immutable. Two views with the same zone and epoch are identical, since a zone's record in the
    platform's store is changed only by compare-and-swap, one epoch at a time.
*/
class ZoneView
{
public:
    ZoneView() = default;
    ZoneView(QString viewZone, std::uint64_t viewEpoch, std::vector<VmDescriptor> viewMembers);

    [[nodiscard]] const QString &zone() const noexcept
    {
        return this->viewZone;
    }

    /** Returns the epoch; 0 means that no view is known yet. */
    [[nodiscard]] std::uint64_t epoch() const noexcept
    {
        return this->viewEpoch;
    }

    /** Returns the members, ordered by VM name. */
    [[nodiscard]] const std::vector<VmDescriptor> &members() const noexcept
    {
        return this->viewMembers;
    }

    [[nodiscard]] bool contains(const VmIncarnation &vm) const;

    /**
        Returns the two members with the highest rendezvous hash for the slot. The weight of a
        member is the combined hash of its VM name and the slot, so a membership change moves only
        the slots of the VMs that joined or left.
    */
    [[nodiscard]] SlotPlacement placement(SlotIndex slot) const;

private:
    /** Indices of a slot's owner and backup in the member list. */
    struct Holders
    {
        std::uint16_t owner = noMember;
        std::uint16_t backup = noMember;
    };

    static constexpr std::uint16_t noMember = 0xffff;

    [[nodiscard]] static Holders holdersOf(SlotIndex slot,
                                           const std::vector<std::uint64_t> &memberHashes);
    [[nodiscard]] std::optional<VmIncarnation> memberAt(std::uint16_t index) const;

    QString viewZone;
    std::uint64_t viewEpoch = 0;
    std::vector<VmDescriptor> viewMembers;
    std::array<Holders, slotsPerZone> holders{}; ///< computed once, read for every request
};

} // namespace lacewingmux
