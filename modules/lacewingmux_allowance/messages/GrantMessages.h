#pragma once

#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

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
    std::uint32_t unused = 0;
};

/** A front's request for tokens of one team. */
struct GrantRequest
{
    QString team;
    std::uint32_t needed = 0; ///< for requests that wait
    std::uint32_t wanted = 0; ///< in all, with a stock for what is expected next
    std::vector<Settlement> settlements;
};

/** The owner's answer to a GrantRequest. */
struct GrantReply
{
    GrantOutcome outcome = GrantOutcome::NotOwner;
    std::uint64_t grantId = 0;
    std::uint32_t tokens = 0;
    std::chrono::microseconds nextToken{0}; ///< until a further token is due
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
