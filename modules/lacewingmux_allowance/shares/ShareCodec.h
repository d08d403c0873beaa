#pragma once

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCounters.h"

#include <QByteArray>
#include <QString>

#include <flatbuffers/flatbuffers.h>

#include <cstdint>

namespace lacewingmux {

/** Returns the root table of the bytes, or null when they aren't a valid buffer of that table. */
template <typename Table>
[[nodiscard]] const Table *verifiedTable(const QByteArray &bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.constData());
    flatbuffers::Verifier verifier(data, static_cast<std::size_t>(bytes.size()));
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

/** Returns the finished buffer of the builder as bytes. */
[[nodiscard]] QByteArray bytesOf(const flatbuffers::FlatBufferBuilder &builder);

/** Converts a FlatBuffers string, which is UTF-8. */
[[nodiscard]] QString textOf(const flatbuffers::String &text);

/** Adds the text to the builder as UTF-8. */
[[nodiscard]] flatbuffers::Offset<flatbuffers::String>
textInto(flatbuffers::FlatBufferBuilder &builder, const QString &text);

/** Converts the counters from their table. */
[[nodiscard]] ShareCounters countersFrom(const fb::ShareCounters &table);

/** Adds the counters to the builder. */
[[nodiscard]] flatbuffers::Offset<fb::ShareCounters>
countersInto(flatbuffers::FlatBufferBuilder &builder, const ShareCounters &counters);

} // namespace lacewingmux
