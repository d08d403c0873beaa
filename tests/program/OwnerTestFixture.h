#pragma once

#include "FakeDispatcher.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_program/owner/ProgramOwner.h"
#include "lacewingmux_zone/journal/InMemoryJournal.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

/** What one caller has received. */
struct ReceivedResponse
{
    int status = 0;
    QByteArray body;
    bool ended = false;
    std::optional<LacewingmuxError> error;
    int terminations = 0; ///< must never exceed one

    [[nodiscard]] bool isDone() const
    {
        return this->ended || this->error.has_value();
    }
};

/** An owner with an in-memory journal and a dispatcher that the test controls. */
class OwnerTestFixture
{
public:
    static constexpr const char *team = "akwaaba";

    OwnerTestFixture()
        : journal(timers)
    {
        this->restart();
    }

    static std::shared_ptr<Configuration> makeConfiguration()
    {
        auto configuration = std::make_shared<Configuration>();
        Allowance allowance;
        allowance.plan = QStringLiteral("standard");
        allowance.programBudgetTokens = 4000;
        allowance.programTurnLimit = 20;
        configuration->allowances = {allowance};
        configuration->plans = {{QString::fromLatin1(team), allowance.plan},
                                {QStringLiteral("other"), allowance.plan}};
        Route model;
        model.name = QStringLiteral("assistant");
        model.maxOutputTokens = 100;
        Route service;
        service.name = QStringLiteral("booking");
        service.kind = RouteKind::Service;
        service.idempotent = false;
        Route lookup = service;
        lookup.name = QStringLiteral("lookup");
        lookup.idempotent = true;
        Route open = service;
        open.name = QStringLiteral("open-booking");
        open.open = true;
        configuration->routes = {model, service, lookup, open};
        return configuration;
    }

    /** Replaces the owner with a new one, as in a takeover by another VM. */
    void restart()
    {
        this->owner.reset();
        OwnerEnvironment environment{this->journal,
                                     this->dispatcher,
                                     this->timers,
                                     this->metrics,
                                     {QStringLiteral("vm-1"), QStringLiteral("zone-a"), 1},
                                     [] { return std::uint64_t(7); },
                                     this->settings,
                                     this->configuration};
        environment.self.incarnation = this->nextIncarnation++;
        this->owner = std::make_unique<ProgramOwner>(std::move(environment));
        this->timers.runPosted();
    }

    std::shared_ptr<ReceivedResponse>
    send(const OwnerRequest &request,
         const std::function<void(const ReceivedResponse &)> &onDone = {})
    {
        auto received = std::make_shared<ReceivedResponse>();
        ResponseSink sink;
        sink.begin = [received](int status, const auto &) { received->status = status; };
        sink.chunk = [received](const QByteArray &bytes) { received->body += bytes; };
        sink.end = [received, onDone] {
            received->ended = true;
            ++received->terminations;
            if (onDone)
                onDone(*received);
        };
        sink.fail = [received, onDone](const LacewingmuxError &error) {
            received->error = error;
            ++received->terminations;
            if (onDone)
                onDone(*received);
        };
        this->lastHandle = this->owner->handle(request, std::move(sink));
        this->timers.runPosted();
        return received;
    }

    static OwnerRequest request(OwnerOperation operation, const QString &program)
    {
        OwnerRequest result;
        result.operation = operation;
        result.team = QString::fromLatin1(team);
        result.keyId = QStringLiteral("key-1");
        result.programId = program;
        return result;
    }

    QString open(const QString &parent = {})
    {
        const auto received = this->send(request(OwnerOperation::OpenProgram, parent));
        return QJsonDocument::fromJson(received->body)
                .object()
                .value(QLatin1String("program"))
                .toString();
    }

    static OwnerRequest modelCall(const QString &program, std::uint32_t number,
                                  const QByteArray &text)
    {
        OwnerRequest result = request(OwnerOperation::Call, program);
        result.callNumber = number;
        result.body =
                R"({"route":"assistant","messages":[{"role":"user","content":")" + text + R"("}]})";
        return result;
    }

    static OwnerRequest serviceCall(const QString &program, std::uint32_t number,
                                    const QByteArray &route, const QByteArray &text)
    {
        OwnerRequest result = request(OwnerOperation::Call, program);
        result.callNumber = number;
        result.body = R"({"route":")" + route + R"(","method":"POST","path":"/","body":")" + text
                      + R"("})";
        return result;
    }

    QJsonObject history(const QString &program)
    {
        const auto received = this->send(request(OwnerOperation::FetchHistory, program));
        return QJsonDocument::fromJson(received->body).object();
    }

    /** Returns the handle of the latest dispatch. */
    [[nodiscard]] DispatchHandle latest() const
    {
        return this->dispatcher.sent.back().handle;
    }

    ManualTimerService timers;
    IgnoringMetricsRecorder metrics;
    FakeDispatcher dispatcher;
    InMemoryJournal journal;
    ProgramOwnerSettings settings;
    std::shared_ptr<const Configuration> configuration = makeConfiguration();
    std::unique_ptr<ProgramOwner> owner;
    OwnerRequestHandle lastHandle = 0;
    std::uint64_t nextIncarnation = 1;
};

} // namespace lacewingmux
