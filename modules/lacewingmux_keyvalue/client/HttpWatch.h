#pragma once

#include "lacewingmux_core/time/JitteredBackoff.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/client/HttpCall.h"
#include "lacewingmux_keyvalue/client/ReportedKeys.h"
#include "lacewingmux_keyvalue/store/KeyRange.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>

#include <cstdint>
#include <memory>

class QNetworkReply;

namespace lacewingmux {

class StoreAccess;

/**
    One watch over a streamed answer, with a connection of its own so that waiting watches don't
    use up the few connections that QNetworkAccessManager opens to a host.

    After a break it goes on from the last revision seen, after a jittered pause. When the store
    has dropped that part of its history, it reads the range again and reports what changed; of
    the keys deleted meanwhile it reports those that it had reported before. A watch that stays
    silent is opened again from time to time, because a cut network doesn't close connections.
*/
class HttpWatch final : public PlatformStore::Watch
{
public:
    HttpWatch(std::shared_ptr<StoreAccess> storeAccess, const QByteArray &prefix,
              std::int64_t afterRevision, PlatformStore::WatchCallback watchCallback);
    ~HttpWatch() override;

private:
    void open();
    void close();
    void reopenLater();
    void readAgain();
    void finishReading(const HttpCallResult &result);
    void handleData();
    void handleLine(const QByteArray &line);
    void handleResult(const QJsonObject &result);
    void handleEnd();
    void report(const StoreRecord &record);
    [[nodiscard]] QByteArray requestBody() const;

    std::shared_ptr<StoreAccess> access;
    KeyRange keys;
    std::int64_t seenRevision;
    PlatformStore::WatchCallback callback;
    ReportedKeys reportedKeys;
    JitteredBackoff backoff;
    std::size_t endpoint = 0;
    QByteArray buffer;
    std::unique_ptr<QNetworkAccessManager> manager = std::make_unique<QNetworkAccessManager>();
    QNetworkReply *reply = nullptr;
    std::unique_ptr<HttpCall> reading;
    TimerSubscription retryTimer;
    TimerSubscription silenceTimer;
    std::shared_ptr<bool> alive; ///< expires with this object
};

} // namespace lacewingmux
