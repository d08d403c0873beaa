#pragma once

#include <QJsonObject>
#include <QStringList>

namespace lacewingmux {

/**
    Returns what differs between two documents, one line each: "- path: value" for what only the
    first has and "+ path: value" for what only the second has. Elements of lists are matched by
    their "name", "team" or "plan" where they have one.
*/
[[nodiscard]] QStringList documentDifference(const QJsonObject &first, const QJsonObject &second);

} // namespace lacewingmux
