#pragma once

#include "lacewingmux_relay/messages/RelayStatus.h"
#include "lacewingmux_relay/messages/RelayUpdate.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** Encodes and decodes the payloads of relay frames; a malformed payload decodes to nothing. */
class RelayCodec
{
public:
    [[nodiscard]] static QByteArray encodeUpdate(const RelayUpdate &update);
    [[nodiscard]] static std::optional<RelayUpdate> decodeUpdate(const QByteArray &bytes);

    [[nodiscard]] static QByteArray encodeStatus(const RelayStatus &status);
    [[nodiscard]] static std::optional<RelayStatus> decodeStatus(const QByteArray &bytes);
};

} // namespace lacewingmux
