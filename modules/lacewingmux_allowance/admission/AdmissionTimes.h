#pragma once

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** How long a front waits for an owner's reply before it asks an owner in another zone. */
inline constexpr std::chrono::milliseconds grantRequestTimeout{60};

/** The maximum time for which a request waits for a token. */
inline constexpr std::chrono::milliseconds maxAdmissionWait{250};

/** How long a front sends no requests to an owner that did not reply in time. */
inline constexpr std::chrono::milliseconds unresponsiveOwnerBackoff{500};

/** How long a front sends no requests to a VM that is not the owner or has no link. */
inline constexpr std::chrono::milliseconds notOwnerBackoff{100};

/** The period of expected demand, by the recent rate, for which a front prefetches tokens. */
inline constexpr std::chrono::milliseconds prefetchHorizon{100};

/** Unused tokens that expire within this time are returned to their owner. */
inline constexpr std::chrono::milliseconds returnHorizon{150};

/** The interval at which a front checks for tokens to return. */
inline constexpr std::chrono::milliseconds returnInterval{100};

/** How long a front collects settlements of used grants before it sends them. */
inline constexpr std::chrono::milliseconds reportDelay{10};

/** The maximum number of requests of one team that wait for tokens at a front. */
inline constexpr std::size_t maxWaitingRequests = 256;

} // namespace lacewingmux
