#pragma once

#include "http/FakeOwner.h"
#include "http/HttpTestTools.h"
#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_http/front/RequestFront.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_http/server/CallerServer.h"

#include <set>

namespace lacewingmux::test {

/** Admits until it is told otherwise, and counts. */
class FakeGate final : public AdmissionGate
{
public:
    void admit(const QString &team,
               std::function<void(const AdmissionDecision &)> callback) override
    {
        this->teams.push_back(team);
        if (this->hold)
            this->held.push_back(std::move(callback));
        else
            callback(this->decision);
    }

    AdmissionDecision decision{true, ErrorKind::RateLimited, {}};
    bool hold = false;
    std::vector<std::function<void(const AdmissionDecision &)>> held;
    std::vector<QString> teams;
};

inline const QByteArray validKey = "test-caller-key-of-team-one";
inline const QByteArray programId = "z1~1~a~vm1~1";

/** A server and a front on loopback, with a fake owner behind. */
class FrontFixture
{
public:
    FrontFixture();

    [[nodiscard]] bool waitForAsked(std::size_t count)
    {
        return waitUntil([this, count] { return this->owner.asked.size() >= count; });
    }

    ManualTimerService timers;
    IgnoringMetricsRecorder metrics;
    FakeGate gate;
    FakeOwner owner;
    SentRequests sent;
    std::set<QByteArray> withdrawnKeys;
    RequestFront front;
    CallerServer server;
    std::uint16_t port;
};

/** Returns a request with the valid key. */
[[nodiscard]] QByteArray withKey(const QByteArray &method, const QByteArray &path,
                                 const QByteArray &body = {}, const QByteArray &headers = {});

/** Returns a call of a model engine. */
[[nodiscard]] QByteArray modelCall(bool stream = false);

} // namespace lacewingmux::test
