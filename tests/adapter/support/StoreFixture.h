#pragma once

#include "loops/EventLoop.h"
#include "platform/StoreClient.h"
#include "replica/ScriptedReplica.h"

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"

#include <QByteArray>

#include <memory>
#include <vector>

namespace lacewingmux {

/** A client of the platform's store and a server that replies as the test's handler says. */
struct StoreFixture
{
    explicit StoreFixture(const ScriptedReplica::Handler &handler);

    /** Returns an HTTP response with a body of JSON. */
    [[nodiscard]] static QByteArray reply(int status, const QByteArray &body);

    /** Returns an item of the store, created at revision 1. */
    [[nodiscard]] static QByteArray item(const QByteArray &key, const QByteArray &value,
                                         int revision);

    /** Returns a whole listing of the items, at the revision. */
    [[nodiscard]] static QByteArray listing(const QByteArray &items, int revision);

    /** Returns the changes up to the revision. */
    [[nodiscard]] static QByteArray changes(const QByteArray &events, int revision);

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    ScriptedReplica server;
    std::vector<bool> contact; ///< each change of whether the store is reachable
    std::unique_ptr<StoreClient> client;
};

} // namespace lacewingmux
