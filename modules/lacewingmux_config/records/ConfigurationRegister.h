#pragma once

#include "lacewingmux_config/records/RevisionedRecord.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace lacewingmux {

class PlatformStore;

/**
    The operators' configuration in the platform's store, for the operators' command.

    Every change is a compare-and-swap against the revision that the operator saw. A write whose
    reply was lost is settled by reading: the record's history names the writes of its past.
*/
class ConfigurationRegister
{
public:
    using Time = std::chrono::system_clock::time_point;

    /** The store's key of the record. */
    static constexpr const char *storeKey = "lacewingmux/configuration";

    /** The largest value that is written; the store holds up to a megabyte. */
    static constexpr qsizetype valueLimitBytes = 1'000'000;

    /** What became of an application. */
    struct Result
    {
        /** Nothing when it was applied; ConfigurationConflict, StoreUnavailable and so on. */
        std::optional<LacewingmuxError> error;
        std::uint64_t revision = 0;              ///< the new revision when it was applied
        std::optional<RevisionedRecord> current; ///< the record that the conflict is with
    };
    using ReadCallback = std::function<void(std::optional<RevisionedRecord> record)>;
    using ApplyCallback = std::function<void(const Result &result)>;

    explicit ConfigurationRegister(PlatformStore &platformStore);

    /** Reads the record; revision 0 when there is none, nothing when the store does not answer. */
    void read(ReadCallback callback);

    /** Replaces the document if its revision is still the expected one; 0 means no record yet. */
    void apply(std::uint64_t expectedRevision, const QJsonObject &document, const QString &author,
               Time now, ApplyCallback callback);

private:
    PlatformStore &store;
};

} // namespace lacewingmux
