#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QString>

namespace lacewingmux {

/** An item that is divided among the zones: a team's allowance or the site's power cap. */
struct ShareItem
{
    AggregateKind kind = AggregateKind::TeamAllowance; ///< TeamAllowance or PowerAllowance
    QString name;                                      ///< the team, or powerName

    /** Returns the name of the only power item. */
    [[nodiscard]] static QString powerName()
    {
        return QStringLiteral("site");
    }

    /** Returns the item of a team's allowance. */
    [[nodiscard]] static ShareItem team(const QString &team)
    {
        return {AggregateKind::TeamAllowance, team};
    }

    /** Returns the item of the site's power cap. */
    [[nodiscard]] static ShareItem power()
    {
        return {AggregateKind::PowerAllowance, powerName()};
    }

    /** Returns the aggregate that holds the zone's share of the item. */
    [[nodiscard]] AggregateId aggregateIn(const QString &zone) const
    {
        return {this->kind, zone, this->name};
    }

    friend bool operator==(const ShareItem &, const ShareItem &) = default;
    friend bool operator<(const ShareItem &left, const ShareItem &right) noexcept
    {
        return left.kind != right.kind ? left.kind < right.kind : left.name < right.name;
    }
};

} // namespace lacewingmux
