#pragma once

#include "lacewingmux_core/ids/AggregateKind.h"

#include <QString>

#include <compare>
#include <cstdint>

namespace lacewingmux {

/** The number of a slot: the unit in which a zone's aggregates are placed and replicated. */
using SlotIndex = std::uint16_t;

/** How many slots each availability zone has. The same in every VM; changing it needs a new zone.
 */
inline constexpr SlotIndex slotsPerZone = 256;

/**
    Names one aggregate: its kind, its home availability zone and a name unique within both.

    The id decides the slot, and the zone view decides which VMs own and back up that slot.
*/
class AggregateId
{
public:
    AggregateId() = default;
    AggregateId(AggregateKind aggregateKind, QString homeZone, QString aggregateName);

    [[nodiscard]] AggregateKind kind() const noexcept
    {
        return this->aggregateKind;
    }
    [[nodiscard]] const QString &zone() const noexcept
    {
        return this->homeZone;
    }
    [[nodiscard]] const QString &name() const noexcept
    {
        return this->aggregateName;
    }

    /** Returns the slot within the home zone, from 0 to slotsPerZone - 1. */
    [[nodiscard]] SlotIndex slot() const noexcept;

    /** Returns "kind/zone/name", for logs. */
    [[nodiscard]] QString toString() const;

    friend bool operator==(const AggregateId &, const AggregateId &) = default;
    friend bool operator<(const AggregateId &left, const AggregateId &right) noexcept;

private:
    AggregateKind aggregateKind = AggregateKind::Program;
    QString homeZone;
    QString aggregateName;
};

/** Hash for Qt's and, through std::hash, for the standard containers. */
[[nodiscard]] std::size_t qHash(const AggregateId &id, std::size_t seed = 0) noexcept;

} // namespace lacewingmux

template <>
struct std::hash<lacewingmux::AggregateId>
{
    std::size_t operator()(const lacewingmux::AggregateId &id) const noexcept
    {
        return lacewingmux::qHash(id);
    }
};
