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
struct Received
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

/** One owner on a journal in memory, with a dispatcher that the test drives. */
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

    /** Makes a new owner in place of the old one, as a takeover by another VM does. */
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

    std::shared_ptr<Received> ask(const OwnerRequest &request,
                                  const std::function<void(const Received &)> &onDone = {})
    {
        auto received = std::make_shared<Received>();
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
        OwnerRequest made;
        made.operation = operation;
        made.team = QString::fromLatin1(team);
        made.keyId = QStringLiteral("key-1");
        made.programId = program;
        return made;
    }

    QString open(const QString &parent = {})
    {
        const auto received = this->ask(request(OwnerOperation::OpenProgram, parent));
        return QJsonDocument::fromJson(received->body)
                .object()
                .value(QLatin1String("program"))
                .toString();
    }

    static OwnerRequest modelCall(const QString &program, std::uint32_t number,
                                  const QByteArray &text)
    {
        OwnerRequest made = request(OwnerOperation::Call, program);
        made.callNumber = number;
        made.body =
                R"({"route":"assistant","messages":[{"role":"user","content":")" + text + R"("}]})";
        return made;
    }

    static OwnerRequest serviceCall(const QString &program, std::uint32_t number,
                                    const QByteArray &route, const QByteArray &text)
    {
        OwnerRequest made = request(OwnerOperation::Call, program);
        made.callNumber = number;
        made.body = R"({"route":")" + route + R"(","method":"POST","path":"/","body":")" + text
                    + R"("})";
        return made;
    }

    QJsonObject history(const QString &program)
    {
        const auto received = this->ask(request(OwnerOperation::FetchHistory, program));
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
