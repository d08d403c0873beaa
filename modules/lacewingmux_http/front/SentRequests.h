#pragma once

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace lacewingmux {

struct OwnerRequest;

/** Returns what names a request over its retries: its program and number, or its team and
    idempotency key. Empty for a request that can't be recognised when it comes again. */
[[nodiscard]] QByteArray requestIdentity(const OwnerRequest &request);

/**
    Remembers which recognisable requests this VM has handed to an owner, the newest ones up to a
    bound, so that a later refusal of the same request never promises that it was not run.
*/
class SentRequests
{
public:
    explicit SentRequests(std::size_t maximumRequests = defaultMaximumRequests);

    void add(const OwnerRequest &request);
    [[nodiscard]] bool contains(const OwnerRequest &request) const;

    /** A hash of 8 bytes each. */
    static constexpr std::size_t defaultMaximumRequests = 200000;

private:
    std::size_t maximum;
    std::unordered_set<std::uint64_t> hashes;
    std::deque<std::uint64_t> order;
};

} // namespace lacewingmux
