#pragma once

#include "lacewingmux_config/keys/KeyRecord.h"
#include "lacewingmux_config/keys/KeyText.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QString>

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace lacewingmux {

class PlatformStore;

/**
    Gives and withdraws keys in the platform's store, for the operators' command.

    Every change is a compare-and-swap on one shard, repeated when another operator came first; a
    lost reply is settled by reading. Withdrawn keys are kept for 30 days, so that their callers are
    told why, and are then dropped with the next change of their shard.
*/
class KeyRegister
{
public:
    using Time = std::chrono::system_clock::time_point;
    using DoneCallback = std::function<void(std::optional<LacewingmuxError> error)>;
    using IssueCallback =
            std::function<void(std::optional<LacewingmuxError> error, const KeyText &)>;
    using ListCallback = std::function<void(std::optional<std::vector<KeyRecord>>)>;

    explicit KeyRegister(PlatformStore &platformStore);

    /** Makes a key for the team. On an unknown result the key is told all the same. */
    void issue(const QString &team, Time now, IssueCallback callback);

    /** Withdraws a key; doing it again changes nothing. Fails with ConfigurationInvalid if unknown.
     */
    void withdraw(const QString &keyId, Time now, DoneCallback callback);

    /** Lists all keys, withdrawn ones too; nothing when the store does not answer. */
    void list(ListCallback callback);

private:
    PlatformStore &store;
};

} // namespace lacewingmux
