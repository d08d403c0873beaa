#pragma once

#include "lacewingmux_config/records/RecordVersion.h"

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    A document in the platform's store with a revision of its own, which grows by one with each
    change and never goes back, whatever happens to the store's own numbering.

    Each write has an id, and a record names the writes of its last versions, so that a writer
    that lost a reply can tell whether its write is in the record's past.
*/
class RevisionedRecord
{
public:
    /** How many earlier versions a record names. */
    static constexpr std::size_t historyLength = 32;

    std::uint64_t revision = 0;
    QString writeId;
    QString author; ///< who wrote it, as told by the writer
    std::chrono::system_clock::time_point writtenAt;
    std::vector<RecordVersion> history; ///< latest first, without this version
    QJsonObject document;

    /** Returns the record that follows this one. */
    [[nodiscard]] RevisionedRecord next(const QJsonObject &newDocument, const QString &newWriteId,
                                        const QString &newAuthor,
                                        std::chrono::system_clock::time_point now) const;

    /** Returns the revision that the write made, as far as this record still names it. */
    [[nodiscard]] std::optional<std::uint64_t> revisionOf(const QString &id) const;

    [[nodiscard]] QByteArray serialize() const;

    /** Returns nothing when the bytes are no such record. */
    [[nodiscard]] static std::optional<RevisionedRecord> parse(const QByteArray &bytes);
};

} // namespace lacewingmux
