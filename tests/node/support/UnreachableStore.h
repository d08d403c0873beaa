#pragma once

#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <functional>
#include <memory>
#include <utility>

namespace lacewingmux {

/** A client of a store that never answers. */
class UnreachableStore final : public PlatformStore
{
public:
    explicit UnreachableStore(std::function<void(bool reachable)> contactHook)
        : contactChanged(std::move(contactHook))
    { }

    void readPrefix(const QByteArray &, ReadCallback) override
    { }
    void read(const QByteArray &, ReadCallback) override
    { }
    void compareAndSwap(const QByteArray &, std::int64_t, const QByteArray &,
                        CompareAndSwapCallback, std::int64_t) override
    { }
    void grantLease(std::chrono::seconds, std::function<void(std::optional<std::int64_t>)>) override
    { }
    void keepAlive(std::int64_t, std::function<void(bool)>) override
    { }
    std::unique_ptr<Watch> watchPrefix(const QByteArray &, std::int64_t, WatchCallback) override
    {
        return std::make_unique<Watch>();
    }
    void assumeUnreachable() override
    {
        this->contactChanged(false);
    }

private:
    std::function<void(bool)> contactChanged;
};

} // namespace lacewingmux
