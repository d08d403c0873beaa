#pragma once

#include "backend/support/ScriptedServer.h"
#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/clients/ServiceClient.h"
#include "loops/EventLoop.h"

#include <optional>

namespace lacewingmux {

/** Clients of a scripted server, and what the last call got from it. */
class ClientFixture
{
public:
    [[nodiscard]] static BackendCall call(const QUrl &server,
                                          const QString &requestId = QStringLiteral("r1"));
    [[nodiscard]] static BackendCall stream(const QUrl &server);

    const BackendResponse &askEngine(const BackendCall &call);
    const BackendResponse &askService(const BackendCall &call);

    /** Returns the text of the chat completion. */
    [[nodiscard]] QString content() const;

    EventLoop loop;
    ConnectionPool connections{loop.timers};
    EngineClient engineClient{connections, loop.timers};
    ServiceClient serviceClient{connections, loop.timers};
    std::optional<BackendResponse> response;
    QByteArray chunks;

private:
    [[nodiscard]] BackendRunListener listener();
    const BackendResponse &finish(std::unique_ptr<BackendRun> run);
};

/** Checks that the call has no answer and may have run. */
void assertLost(const BackendResponse &response, const QByteArray &sent);

/** Returns an answer with a length; without the id's field if the id is empty. */
[[nodiscard]] QByteArray withLength(const QByteArray &status, const QByteArray &id,
                                    const QByteArray &body);

} // namespace lacewingmux
