#pragma once

#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace lacewingmux {

/** Returns the payload of a Heartbeat frame. */
[[nodiscard]] QByteArray encodeHeartbeat(const VmDescriptor &sender);

/** Returns the sender of a heartbeat, or nothing if the payload isn't a valid heartbeat. */
[[nodiscard]] std::optional<VmDescriptor> decodeHeartbeat(const QByteArray &payload);

/** Returns the payload of a ViewAnnouncement frame. */
[[nodiscard]] QByteArray encodeViewRecords(const std::vector<ZoneRecord> &records);

/** Returns the announced records; none if the payload isn't a valid announcement. */
[[nodiscard]] std::vector<ZoneRecord> decodeViewRecords(const QByteArray &payload);

} // namespace lacewingmux
