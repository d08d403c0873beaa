#pragma once

#include <QByteArray>

#include <flatbuffers/flatbuffers.h>

#include <cstdint>

namespace lacewingmux {

/** Returns the bytes of a finished buffer. */
[[nodiscard]] inline QByteArray payloadOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return QByteArray(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                      static_cast<qsizetype>(builder.GetSize()));
}

/** Returns the table that the payload holds, or null when its bytes are no such table. */
template <typename Table>
[[nodiscard]] const Table *verifiedTable(const QByteArray &payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.constData());
    flatbuffers::Verifier verifier(bytes, static_cast<std::size_t>(payload.size()));
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

} // namespace lacewingmux
