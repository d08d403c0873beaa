#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** Writes the message as the payload of its frame. */
[[nodiscard]] QByteArray encode(const GrantRequest &message);
[[nodiscard]] QByteArray encode(const GrantReply &message);
[[nodiscard]] QByteArray encode(const PowerRequest &message);
[[nodiscard]] QByteArray encode(const PowerReply &message);

/** Reads the payload of a frame; returns nothing when it is damaged. */
[[nodiscard]] std::optional<GrantRequest> decodeGrantRequest(const QByteArray &payload);
[[nodiscard]] std::optional<GrantReply> decodeGrantReply(const QByteArray &payload);
[[nodiscard]] std::optional<PowerRequest> decodePowerRequest(const QByteArray &payload);
[[nodiscard]] std::optional<PowerReply> decodePowerReply(const QByteArray &payload);

} // namespace lacewingmux
