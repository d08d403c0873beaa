#pragma once

#include "lacewingmux_config/service/ConfigurationMessages.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace lacewingmux {

/** The FlatBuffers form of the messages between daemons. Decoding verifies the bytes first. */
class ConfigurationCodec
{
public:
    [[nodiscard]] static QByteArray encode(const ConfigurationAnnouncement &announcement);
    [[nodiscard]] static std::optional<ConfigurationAnnouncement>
    decodeAnnouncement(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeRequest(const RevisionSet &known);
    [[nodiscard]] static std::optional<RevisionSet> decodeRequest(const QByteArray &payload);

    [[nodiscard]] static QByteArray encode(const std::vector<ZoneInForce> &zones);
    [[nodiscard]] static std::optional<std::vector<ZoneInForce>>
    decodeZones(const QByteArray &payload);
};

} // namespace lacewingmux
