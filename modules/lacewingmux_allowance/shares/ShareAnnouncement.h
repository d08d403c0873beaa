#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** A share record as a VM of the zone read it from the store. */
struct ShareAnnouncement
{
    QByteArray key;
    std::int64_t revision = 0;
    QByteArray value;
};

/** Writes the announcement as the payload of its frame. */
[[nodiscard]] QByteArray encodeAnnouncement(const ShareAnnouncement &announcement);

/** Reads the payload of a ShareAnnouncement frame; returns nothing when it is damaged. */
[[nodiscard]] std::optional<ShareAnnouncement> decodeAnnouncement(const QByteArray &payload);

} // namespace lacewingmux
