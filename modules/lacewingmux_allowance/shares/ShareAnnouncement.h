#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** A share record that a VM of the zone read from the store. */
struct ShareAnnouncement
{
    QByteArray key;
    std::int64_t revision = 0;
    QByteArray value;
};

/** Encodes the announcement as a frame payload. */
[[nodiscard]] QByteArray encodeAnnouncement(const ShareAnnouncement &announcement);

/** Decodes the payload of a ShareAnnouncement frame; returns nothing when it is malformed. */
[[nodiscard]] std::optional<ShareAnnouncement> decodeAnnouncement(const QByteArray &payload);

} // namespace lacewingmux
