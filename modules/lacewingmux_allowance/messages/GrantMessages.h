#pragma once

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** Millionths of a token. Fractions granted by several zones can add up to a whole token. */
using MicroTokens = std::uint64_t;

/** One token, which is the cost of one request. */
inline constexpr MicroTokens microTokensPerToken = 1'000'000;

/** The outcome of a request to an owner. */
enum class GrantOutcome : std::uint8_t {
    Answered, ///< processed, possibly with no tokens or watts granted
    NotOwner, ///< another VM owns the aggregate, or it is being recovered
    NoShare   ///< the owner doesn't know its zone's share yet
};

/** Reports that no further tokens of a grant will be used. */
struct Settlement
{
    std::uint64_t grantId = 0;
    MicroTokens unused = 0;
};

/** A front's request for tokens of one team. */
struct GrantRequest
{
    QString team;
    MicroTokens needed = 0;     ///< for waiting requests
    MicroTokens wanted = 0;     ///< total, including prefetch for expected requests
    std::uint32_t arrivals = 0; ///< requests since the front last reported to its own zone
    std::vector<Settlement> settlements;
};

/** The level of an owner's token bucket, with its rate and burst limits. */
struct ZoneLevel
{
    double tokens = 0;
    double tokensPerSecond = 0;
    double burstTokens = 0; ///< capacity of the bucket
};

/** The owner's answer to a GrantRequest. */
struct GrantReply
{
    GrantOutcome outcome = GrantOutcome::NotOwner;
    std::uint64_t grantId = 0;
    MicroTokens granted = 0;
    ZoneLevel level; ///< after the grant
};

/** A VM's request to hold a total amount of power. */
struct PowerRequest
{
    std::uint64_t sequence = 0; ///< increases with each request of the VM's incarnation
    double totalWatts = 0;
};

/** The owner's answer to a PowerRequest. */
struct PowerReply
{
    GrantOutcome outcome = GrantOutcome::NotOwner;
    std::uint64_t sequence = 0; ///< sequence of the request
    double grantedWatts = 0;    ///< total power up to which the VM may start sequences
};

} // namespace lacewingmux
