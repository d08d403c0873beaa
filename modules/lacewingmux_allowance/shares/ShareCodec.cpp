#include "lacewingmux_allowance/shares/ShareCodec.h"

namespace lacewingmux {

QByteArray bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
            static_cast<qsizetype>(builder.GetSize())};
}

QString textOf(const flatbuffers::String &text)
{
    return QString::fromUtf8(text.c_str(), static_cast<qsizetype>(text.size()));
}

flatbuffers::Offset<flatbuffers::String> textInto(flatbuffers::FlatBufferBuilder &builder,
                                                  const QString &text)
{
    const QByteArray utf8 = text.toUtf8();
    return builder.CreateString(utf8.constData(), static_cast<std::size_t>(utf8.size()));
}

ShareCounters countersFrom(const fb::ShareCounters &table)
{
    return {table.initial(), table.received(), table.given()};
}

flatbuffers::Offset<fb::ShareCounters> countersInto(flatbuffers::FlatBufferBuilder &builder,
                                                    const ShareCounters &counters)
{
    return fb::CreateShareCounters(builder, counters.initial, counters.received, counters.given);
}

} // namespace lacewingmux
