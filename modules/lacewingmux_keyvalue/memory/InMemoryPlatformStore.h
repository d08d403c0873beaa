#pragma once

#include "lacewingmux_keyvalue/memory/InMemoryStoreServer.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QString>

#include <memory>

namespace lacewingmux {

/**
    One client's view of an InMemoryStoreServer, for tests. Callbacks of calls still under way
    when the client is destroyed are dropped.
*/
class InMemoryPlatformStore final : public PlatformStore
{
public:
    /** Makes a client; the name is what InMemoryStoreServer::setCut and calls refer to. */
    InMemoryPlatformStore(std::shared_ptr<InMemoryStoreServer> sharedServer, QString clientName);
    ~InMemoryPlatformStore() override;

    void readPrefix(const QByteArray &prefix, ReadCallback callback) override;
    void read(const QByteArray &key, ReadCallback callback) override;
    void compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                        const QByteArray &value, CompareAndSwapCallback callback,
                        std::int64_t leaseId = 0) override;
    void grantLease(std::chrono::seconds timeToLive,
                    std::function<void(std::optional<std::int64_t>)> callback) override;
    void keepAlive(std::int64_t leaseId, std::function<void(bool)> callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watchPrefix(const QByteArray &prefix,
                                                     std::int64_t afterRevision,
                                                     WatchCallback callback) override;

private:
    class OpenWatch;
    using Delivery = InMemoryStoreServer::Delivery;

    void readRange(const KeyRange &keys, ReadCallback callback);

    std::shared_ptr<InMemoryStoreServer> server;
    QString client;
    std::shared_ptr<bool> alive; ///< expires with this object
};

} // namespace lacewingmux
