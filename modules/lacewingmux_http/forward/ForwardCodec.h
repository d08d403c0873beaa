#pragma once

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/forward/ForwardMessages.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** Writes the message as the payload of its frame. */
[[nodiscard]] QByteArray encode(const OwnerRequest &request);
[[nodiscard]] QByteArray encode(const ForwardedHead &head);
[[nodiscard]] QByteArray encode(const ForwardedChunk &chunk);
[[nodiscard]] QByteArray encode(const ForwardedEnd &end);
[[nodiscard]] QByteArray encode(const LacewingmuxError &error);

/** Reads the payload of a frame; returns nothing when it is damaged. */
[[nodiscard]] std::optional<OwnerRequest> decodeOwnerRequest(const QByteArray &payload);
[[nodiscard]] std::optional<ForwardedHead> decodeForwardedHead(const QByteArray &payload);
[[nodiscard]] std::optional<ForwardedChunk> decodeForwardedChunk(const QByteArray &payload);
[[nodiscard]] std::optional<ForwardedEnd> decodeForwardedEnd(const QByteArray &payload);
[[nodiscard]] std::optional<LacewingmuxError> decodeForwardedError(const QByteArray &payload);

} // namespace lacewingmux
