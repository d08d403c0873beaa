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

/** Adds a vector of bytes to a buffer. */
[[nodiscard]] inline flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
createBytes(flatbuffers::FlatBufferBuilder &builder, const QByteArray &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.constData()),
                                static_cast<std::size_t>(bytes.size()));
}

/** Returns the bytes of a vector; an absent one is empty. */
[[nodiscard]] inline QByteArray bytesOf(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return QByteArray(reinterpret_cast<const char *>(bytes->data()),
                      static_cast<qsizetype>(bytes->size()));
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
