#pragma once

#include "lacewingmux_keyvalue/client/HttpCall.h"
#include "lacewingmux_keyvalue/client/StoreAccess.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QJsonObject>
#include <QNetworkAccessManager>

#include <cstdint>
#include <map>
#include <memory>

namespace lacewingmux {

/**
    The platform's store over the etcd v3 JSON gateway.

    A write is sent at most once: NotSent is reported only when no byte of its body was handed to
    a connection or the store refused it, and Unknown whenever its answer is missing. A call that
    was certainly not sent is tried at each further endpoint. Calls over the budget are not made;
    writes and renewals may use a part of it that reads and watches may not.
*/
class HttpPlatformStore final : public PlatformStore
{
public:
    /** Throws LacewingmuxError when the settings name no endpoint. */
    HttpPlatformStore(TimerService &timerService, MetricsRecorder &metricsRecorder,
                      PlatformStoreSettings storeSettings);
    ~HttpPlatformStore() override;

    void readPrefix(const QByteArray &prefix, ReadCallback callback) override;
    void read(const QByteArray &key, ReadCallback callback) override;
    void readRevisions(const QByteArray &prefix, ReadCallback callback) override;
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
    /** One call and how often it may still go to another endpoint. */
    struct Attempt
    {
        CallPriority priority;
        const char *path;
        QJsonObject body;
        std::size_t endpointsLeft;
        HttpCall::Callback callback;
    };

    void readRange(const QJsonObject &request, ReadCallback callback);
    void post(CallPriority priority, const char *path, const QJsonObject &body,
              HttpCall::Callback callback);
    void start(const std::shared_ptr<Attempt> &attempt);
    void finish(const std::shared_ptr<Attempt> &attempt, std::size_t endpoint,
                const HttpCallResult &result);

    std::shared_ptr<StoreAccess> access;
    QNetworkAccessManager manager;
    std::map<std::uint64_t, std::unique_ptr<HttpCall>> calls;
    std::uint64_t nextCall = 0;
    std::shared_ptr<bool> alive; ///< expires with this object
};

} // namespace lacewingmux
