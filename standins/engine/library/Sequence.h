#pragma once

#include <QString>
#include <QStringList>

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux::standin {

/** One request on its way through an engine stand-in. */
struct Sequence
{
    QString requestId;
    QString program;
    int priority = 0; ///< a higher one is taken from the waiting line first
    QStringList prompt;
    std::vector<std::uint64_t> blocks; ///< of the prompt, as the prefix cache names them
    std::int64_t outputTokens = 0;     ///< how many it will produce
    std::int64_t cachedTokens = 0;     ///< prompt tokens found in the cache when it started
    QStringList output;                ///< tokens produced so far
    bool cancelled = false;
    bool finished = false;
    std::function<void()> tokenProduced;
    std::function<void()> ended; ///< finished or cancelled

    /** Returns the token at the index: a repeatable text made from the request. */
    [[nodiscard]] QString token(std::int64_t index) const;
};

} // namespace lacewingmux::standin
