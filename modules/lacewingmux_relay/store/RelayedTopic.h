#pragma once

#include "lacewingmux_keyvalue/store/StoreRecord.h"
#include "lacewingmux_relay/messages/RelayUpdate.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace lacewingmux {

/**
    The records below one watched prefix, merged from a watch of the store and from relays.

    Sources may lag behind each other: a record counts only if its revision is newer than the known
    one of its key, and deleted keys are remembered, so that a lagging source does not restore them.
*/
class RelayedTopic
{
public:
    /** Returns whether a changed record matters to its readers; a replica's heartbeat does not. */
    using RelevanceFunction =
            std::function<bool(const StoreRecord &before, const StoreRecord &after)>;

    explicit RelayedTopic(QByteArray watchedPrefix, RelevanceFunction relevanceFunction = nullptr);

    /** Applies one change; returns whether it is newer than what is known, and relevant. A change
        of no key below the prefix, or without a revision, is ignored. */
    bool apply(const StoreRecord &change);

    /** Applies an update of a relay; returns the changes that are newer and relevant. */
    [[nodiscard]] std::vector<StoreRecord> apply(const RelayUpdate &update);

    /** Raises the revision up to which all changes are known. */
    void setRevision(std::int64_t seen);

    /** Returns the store revision up to which all changes are known; 0 if that is unknown. */
    [[nodiscard]] std::int64_t revision() const noexcept
    {
        return this->knownRevision;
    }

    [[nodiscard]] const QByteArray &prefix() const noexcept
    {
        return this->topicPrefix;
    }

    /** Returns the existing keys. */
    [[nodiscard]] std::vector<QByteArray> keys() const;

    /** Returns all existing records. */
    [[nodiscard]] std::vector<StoreRecord> records() const;

private:
    void forgetOldDeletions();

    QByteArray topicPrefix;
    RelevanceFunction isRelevant;
    std::map<QByteArray, StoreRecord> known; ///< with deleted keys, whose createRevision is 0
    std::size_t deletedCount = 0;
    std::int64_t knownRevision = 0;
};

} // namespace lacewingmux
