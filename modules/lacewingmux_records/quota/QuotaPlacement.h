#pragma once

#include "lacewingmux_records/members/RecordsView.h"

#include <QByteArray>
#include <QHash>

#include <vector>

namespace lacewingmux {

/**
    Selects which records VMs may grant a team's tokens, and into how many parts its rate is
   divided.

    The members of a view are ranked for each team by rendezvous hashing, with those of different
    availability zones first. The first members hold one part each. If one of them loses its lease,
    the next in rank takes over its part. Everyone who knows the view computes the same ranking.
*/
class QuotaPlacement
{
public:
    QuotaPlacement() = default;

    explicit QuotaPlacement(const RecordsView &view);

    /** Returns the number of parts of a team's rate (requests per second) and burst (requests). A
        small burst is not divided, as its parts could not admit new programs. */
    [[nodiscard]] static int parts(double requestsPerSecond, double burst);

    /** The number of parts of a team with a large burst and a moderate rate. */
    static constexpr int usualParts = 3;

    /** Returns the members that may hold a part of the team's rate, the preferred ones first. The
        reference stays valid until the object is assigned. */
    [[nodiscard]] const std::vector<VmIncarnation> &ranking(const QByteArray &team) const;

private:
    [[nodiscard]] std::vector<VmIncarnation> rank(const QByteArray &team) const;

    std::vector<VmIncarnation> holders; ///< the synced members of the view
    mutable QHash<QByteArray, std::vector<VmIncarnation>> rankings; ///< cached, by team
};

} // namespace lacewingmux
