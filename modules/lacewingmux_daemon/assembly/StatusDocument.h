#pragma once

#include <QJsonArray>

namespace lacewingmux {

class ReplicaSet;
class ShareTable;

/** Returns [{"name", "route", "vm", "leaving", "sequences"}] for the operators' status. */
[[nodiscard]] QJsonArray replicasToStatus(const ReplicaSet &replicas);

/** Returns [{"kind", "name", "share"}] of one zone, each share from 0 to 1. */
[[nodiscard]] QJsonArray sharesToStatus(const ShareTable &shares);

} // namespace lacewingmux
