#pragma once

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** Tokens in millionths, so that zones can grant fractions that add up to whole tokens. */
using MicroTokens = std::uint64_t;

/** What one request costs. */
inline constexpr MicroTokens microTokensPerToken = 1'000'000;

/** How an owner answered. */
enum class GrantOutcome : std::uint8_t {
    Answered, ///< decided; the tokens or watts may still be none
    NotOwner, ///< another VM owns the aggregate, or it is being recovered
    NoShare   ///< the owner doesn't know its zone's share yet
};

/** Reports that no token of a grant will be used any more. */
struct Settlement
{
    std::uint64_t grantId = 0;
    MicroTokens unused = 0;
};

/** A front's request for tokens of one team. */
struct GrantRequest
{
    QString team;
    MicroTokens needed = 0;     ///< for requests that wait
    MicroTokens wanted = 0;     ///< in all, with a stock for what is expected next
    std::uint32_t arrivals = 0; ///< requests at the front since it last reported to its own zone
    std::vector<Settlement> settlements;
};

/** What an owner's bucket holds and how it fills. */
struct ZoneLevel
{
    double tokens = 0;
    double tokensPerSecond = 0;
    double burstTokens = 0; ///< up to which it fills
};

/** The owner's answer to a GrantRequest. */
struct GrantReply
{
    GrantOutcome outcome = GrantOutcome::NotOwner;
    std::uint64_t grantId = 0;
    MicroTokens granted = 0;
    ZoneLevel level; ///< after the grant
};

/** The whole power that a VM wants to hold. */
struct PowerRequest
{
    std::uint64_t sequence = 0; ///< grows with each request of the VM's incarnation
    double totalWatts = 0;
};

/** The owner's answer to a PowerRequest. */
struct PowerReply
{
    GrantOutcome outcome = GrantOutcome::NotOwner;
    std::uint64_t sequence = 0; ///< of the request
    double grantedWatts = 0;    ///< what the VM holds in all
};

} // namespace lacewingmux
