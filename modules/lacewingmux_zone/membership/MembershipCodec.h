#pragma once

#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace lacewingmux {

/** Payload of a Heartbeat frame. */
[[nodiscard]] QByteArray encodeHeartbeat(const VmDescriptor &sender);

/** Returns the sender of a heartbeat, or nothing for a payload that isn't one. */
[[nodiscard]] std::optional<VmDescriptor> decodeHeartbeat(const QByteArray &payload);

/** Payload of a ViewAnnouncement frame. */
[[nodiscard]] QByteArray encodeViewRecords(const std::vector<ZoneRecord> &records);

/** Returns the announced records; none for a payload that isn't an announcement. */
[[nodiscard]] std::vector<ZoneRecord> decodeViewRecords(const QByteArray &payload);

} // namespace lacewingmux
