#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** Encodes the message as a frame payload. */
[[nodiscard]] QByteArray encode(const GrantRequest &message);
[[nodiscard]] QByteArray encode(const GrantReply &message);
[[nodiscard]] QByteArray encode(const PowerRequest &message);
[[nodiscard]] QByteArray encode(const PowerReply &message);

/** Decodes a frame payload; returns nothing when it is malformed. */
[[nodiscard]] std::optional<GrantRequest> decodeGrantRequest(const QByteArray &payload);
[[nodiscard]] std::optional<GrantReply> decodeGrantReply(const QByteArray &payload);
[[nodiscard]] std::optional<PowerRequest> decodePowerRequest(const QByteArray &payload);
[[nodiscard]] std::optional<PowerReply> decodePowerReply(const QByteArray &payload);

} // namespace lacewingmux
