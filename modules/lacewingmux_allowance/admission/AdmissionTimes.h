#pragma once

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** How long a front waits for one owner's answer before it asks in another zone. */
inline constexpr std::chrono::milliseconds grantRequestTimeout{60};

/** The longest that a request waits for a token. */
inline constexpr std::chrono::milliseconds maxAdmissionWait{250};

/** How long a front leaves an owner alone that did not answer. */
inline constexpr std::chrono::milliseconds unresponsiveOwnerBackoff{500};

/** How long a front leaves an owner alone that said it is none, or had no link. */
inline constexpr std::chrono::milliseconds notOwnerBackoff{100};

/** How far ahead a front keeps tokens in stock, by recent demand. */
inline constexpr std::chrono::milliseconds prefetchHorizon{100};

/** Tokens that expire sooner than this are given back to their owner. */
inline constexpr std::chrono::milliseconds returnHorizon{150};

/** How often fronts look for tokens to give back. */
inline constexpr std::chrono::milliseconds returnInterval{100};

/** How long a front gathers reports of used tokens before it sends them. */
inline constexpr std::chrono::milliseconds reportDelay{10};

/** How many requests of one team may wait at a front. */
inline constexpr std::size_t maxWaitingRequests = 256;

} // namespace lacewingmux
