#include "lacewingmux_allowance/shares/ShareAnnouncement.h"

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

namespace lacewingmux {

QByteArray encodeAnnouncement(const ShareAnnouncement &announcement)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto key = builder.CreateString(announcement.key.constData(),
                                          static_cast<std::size_t>(announcement.key.size()));
    const auto value = builder.CreateVector(
            reinterpret_cast<const std::uint8_t *>(announcement.value.constData()),
            static_cast<std::size_t>(announcement.value.size()));
    builder.Finish(fb::CreateShareAnnouncement(builder, key, announcement.revision, value));
    return bytesOf(builder);
}

std::optional<ShareAnnouncement> decodeAnnouncement(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ShareAnnouncement>(payload);
    if (table == nullptr)
        return std::nullopt;
    const auto *value = table->record();
    return ShareAnnouncement{
            QByteArray(table->key()->c_str(), static_cast<qsizetype>(table->key()->size())),
            table->revision(),
            QByteArray(reinterpret_cast<const char *>(value->data()),
                       static_cast<qsizetype>(value->size()))};
}

} // namespace lacewingmux
