#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_operator/commands/ExitCode.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "store/EventLoop.h"
#include "store/StoreStandin.h"

#include <QFile>
#include <QHttpServerRequest>
#include <QJsonArray>
#include <QJsonDocument>
#include <QProcess>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray document = R"({
    "plans": [{"team": "accra", "plan": "large"}],
    "allowances": [{"plan": "large", "requestsPerSecond": 50, "burstRequests": 100,
                    "programBudgetTokens": 200000, "programTurnLimit": 98}],
    "routes": [{"name": "verification", "kind": "engine"}],
    "objectives": [{"plan": "large"}]})";

/** How one run of lacewingmuxctl ended. */
struct Run
{
    ExitCode code = ExitCode::Failed;
    QString output;
    QString messages;

    QJsonObject json() const
    {
        return QJsonDocument::fromJson(this->output.toUtf8()).object();
    }
};

/** A store, a daemon's operators' endpoint, and lacewingmuxctl to run against them. */
struct Fixture
{
    EventLoop loop;
    QtTimerService timers;
    StoreStandin store{timers};
    QTemporaryDir folder;
    QJsonObject daemonAnswer;
    QStringList daemonRequests;
    StandinHttpServer daemon{[this](const QHttpServerRequest &request, QTcpSocket *socket) {
        this->daemonRequests.append(request.url().path());
        StandinHttpServer::writeJson(socket, 200, this->daemonAnswer);
    }};
    std::uint16_t daemonPort = 0;

    Fixture()
    {
        cr_assert(this->store.start(0, 0));
        this->daemonPort = this->daemon.start(0);
    }

    std::unique_ptr<QProcess> start(const QStringList &arguments) const
    {
        auto process = std::make_unique<QProcess>();
        const QString local = QStringLiteral("http://127.0.0.1:%1");
        process->start(
                QStringLiteral(LACEWINGMUXCTL),
                arguments
                        + QStringList{QStringLiteral("--store"), local.arg(this->store.port()),
                                      QStringLiteral("--operator"), local.arg(this->daemonPort)});
        return process;
    }

    Run finish(QProcess &process)
    {
        cr_assert(this->loop.until([&] { return process.state() == QProcess::NotRunning; }));
        cr_assert(process.exitStatus() == QProcess::NormalExit);
        return {static_cast<ExitCode>(process.exitCode()),
                QString::fromUtf8(process.readAllStandardOutput()),
                QString::fromUtf8(process.readAllStandardError())};
    }

    Run run(const char *line, const QStringList &more = {})
    {
        const auto process = this->start(QString::fromLatin1(line).split(u' ') + more);
        return this->finish(*process);
    }

    QString file(const QByteArray &content) const
    {
        const QString path = this->folder.filePath(QStringLiteral("configuration.json"));
        QFile file(path);
        cr_assert(file.open(QIODevice::WriteOnly));
        file.write(content);
        return path;
    }

    Run apply(int revision, const QByteArray &content, const QStringList &more = {})
    {
        return this->run("config apply",
                         QStringList{this->file(content), QStringLiteral("--revision"),
                                     QString::number(revision)}
                                 + more);
    }

    std::uint64_t storedRevision()
    {
        const auto record = this->store.table().find(ConfigurationRegister::storeKey);
        return record ? RevisionedRecord::parse(record->value)->revision : 0;
    }
};

RecordsMember recordsMember(const char *name, MemberState state)
{
    RecordsMember member;
    member.vm.incarnation = {QString::fromLatin1(name), QStringLiteral("zone"), 1};
    member.state = state;
    return member;
}

QByteArray withRate(int rate)
{
    QByteArray changed = document;
    return changed.replace("\"requestsPerSecond\": 50",
                           "\"requestsPerSecond\": " + QByteArray::number(rate));
}

} // namespace

Test(OperatorProcess, appliesAndShowsAConflictWithBothRevisionsAndTheDifference)
{
    Fixture fixture;
    cr_assert(fixture.apply(0, document).code == ExitCode::Success);
    cr_assert(
            fixture.apply(1, withRate(60), {QStringLiteral("--author"), QStringLiteral("ama")}).code
            == ExitCode::Success);
    const Run conflict = fixture.apply(1, withRate(70));
    cr_assert(conflict.code == ExitCode::Conflict);
    for (const char *expected :
         {"for revision 1", "revision 2 stands", "by ama",
          "- allowances[large].requestsPerSecond: 60", "+ allowances[large].requestsPerSecond: 70"})
        cr_assert(conflict.messages.contains(QLatin1String(expected)), "%s in %s", expected,
                  qPrintable(conflict.messages));
    const Run current = fixture.run("config get --json");
    cr_assert_eq(current.json().value(QLatin1String("revision")).toInt(), 2);
    const Run edited = fixture.run("config edit --set /allowances/0/requestsPerSecond=80");
    cr_assert(edited.code == ExitCode::Success, "%s", qPrintable(edited.messages));
    cr_assert(
            fixture.run("config get").output.contains(QLatin1String("\"requestsPerSecond\": 80")));
}

Test(OperatorProcess, ofRacingOperatorsExactlyOneWinsAndEachIsTold)
{
    Fixture fixture;
    const QString first = fixture.file(document);
    const QStringList arguments{QStringLiteral("config"), QStringLiteral("apply"), first,
                                QStringLiteral("--revision"), QStringLiteral("0")};
    constexpr std::size_t operatorCount = 4;
    std::vector<std::unique_ptr<QProcess>> operators;
    operators.reserve(operatorCount);
    for (std::size_t index = 0; index < operatorCount; ++index)
        operators.push_back(fixture.start(arguments));
    int applied = 0;
    for (const auto &process : operators) {
        const Run run = fixture.finish(*process);
        cr_assert(run.code == ExitCode::Success || run.code == ExitCode::Conflict);
        applied += run.code == ExitCode::Success ? 1 : 0;
    }
    cr_assert_eq(applied, 1);
    cr_assert_eq(fixture.storedRevision(), 1U);
}

Test(OperatorProcess, settlesALostReplyAndTellsAnOutageApart)
{
    Fixture fixture;
    fixture.store.setFaults({{QStringLiteral("loseWriteReplies"), 1}});
    cr_assert(fixture.apply(0, document).code == ExitCode::Success);
    cr_assert_eq(fixture.storedRevision(), 1U);
    fixture.store.setFaults({{QStringLiteral("closed"), true}});
    cr_assert(fixture.apply(1, withRate(60)).code == ExitCode::StoreUnavailable);
    cr_assert(fixture.run("key list").code == ExitCode::StoreUnavailable);
    fixture.store.setFaults({});
    cr_assert_eq(fixture.storedRevision(), 1U);
}

Test(OperatorProcess, refusesFaultyDocumentsAndCommandLinesWithoutTouchingTheStore)
{
    Fixture fixture;
    const Run invalid = fixture.apply(0, withRate(-1));
    cr_assert(invalid.code == ExitCode::Invalid);
    cr_assert(invalid.messages.contains(QLatin1String("allowances[0].requestsPerSecond")));
    cr_assert(fixture.run("config check", {fixture.file(document)}).code == ExitCode::Success);
    cr_assert(fixture.run("config check /nowhere").code == ExitCode::Invalid);
    for (const char *line : {"config apply x", "config", "nonsense", "config get --unknown",
                             "key issue", "config edit", "config get --store elsewhere"})
        cr_assert(fixture.run(line).code == ExitCode::WrongCommandLine, "%s", line);
    cr_assert_eq(fixture.storedRevision(), 0U);
}

Test(OperatorProcess, issuesListsAndWithdrawsKeysWithoutShowingSecretsAgain)
{
    Fixture fixture;
    const Run issued = fixture.run("key issue --team accra --json");
    cr_assert(issued.code == ExitCode::Success);
    const QString key = issued.json().value(QLatin1String("key")).toString();
    const QString keyId = issued.json().value(QLatin1String("keyId")).toString();
    cr_assert(key.startsWith(QStringLiteral("lk_%1.").arg(keyId)));
    const Run list = fixture.run("key list");
    cr_assert(list.output.contains(keyId));
    cr_assert_not(list.output.contains(key.section(u'.', 1)));
    cr_assert(fixture.run("key withdraw", {keyId}).code == ExitCode::Success);
    cr_assert(fixture.run("key withdraw", {keyId}).code == ExitCode::Success);
    cr_assert(fixture.run("key withdraw 0123456789abcdef").code == ExitCode::Invalid);
}

// Guards against a group that waits without end for a records VM that is lost for good, and against
// a declaration that leaves a group without a member that has its records.
Test(OperatorProcess, declaresARecordsVmLostIfAnotherOneReplacesIt)
{
    Fixture fixture;
    cr_assert(fixture.run("records lost r1").code == ExitCode::Invalid);
    RecordsView view;
    view.number = 7;
    view.targetSize = 3;
    view.members = {recordsMember("r1", MemberState::Synced),
                    recordsMember("r2", MemberState::Synced)};
    const auto storeView = [&fixture](const RecordsView &stored) {
        fixture.store.table().write({{KeyValueWrite::Kind::Put, KeyRange::single(recordsViewKey),
                                      stored.toDocument()}});
    };
    const auto storedView = [&fixture] {
        return *RecordsView::fromDocument(fixture.store.table().find(recordsViewKey)->value);
    };
    storeView(view);
    const Run early = fixture.run("records lost r1");
    cr_assert(early.code == ExitCode::Conflict);
    cr_assert(early.messages.contains(QLatin1String("no records VM has joined to replace r1")));
    view.members.push_back(recordsMember("r3", MemberState::Joining));
    storeView(view);
    cr_assert(fixture.run("records lost r9").code == ExitCode::Invalid);
    cr_assert(fixture.run("records lost").code == ExitCode::WrongCommandLine);
    cr_assert_eq(storedView().number, 7U);
    fixture.store.setFaults({{QStringLiteral("loseWriteReplies"), 1}});
    const Run declared = fixture.run("records lost r1");
    cr_assert(declared.code == ExitCode::Success, "%s", qPrintable(declared.messages));
    cr_assert_eq(storedView().number, 8U);
    cr_assert_null(storedView().memberOnVm(QStringLiteral("r1")));
    const Run last = fixture.run("records lost r2");
    cr_assert(last.code == ExitCode::Conflict);
    cr_assert(last.messages.contains(QLatin1String("no other records VM")));
}

Test(OperatorProcess, waitsUntilARevisionIsInForceOrNamesTheZonesThatLackIt)
{
    Fixture fixture;
    const auto zone = [](const char *name, int revision) {
        return QJsonObject{{QStringLiteral("zone"), QString::fromLatin1(name)},
                           {QStringLiteral("configuration"), revision}};
    };
    const QStringList wait{QStringLiteral("--wait"), QStringLiteral("--timeout"),
                           QStringLiteral("1")};
    fixture.daemonAnswer = {
            {QStringLiteral("zonesInForce"), QJsonArray{zone("a", 1), zone("b", 1)}}};
    cr_assert(fixture.apply(0, document, wait).code == ExitCode::Success);
    fixture.daemonAnswer = {
            {QStringLiteral("zonesInForce"), QJsonArray{zone("a", 2), zone("b", 1)}}};
    const Run late = fixture.apply(1, withRate(60), wait);
    cr_assert(late.code == ExitCode::NotInForce);
    cr_assert(late.output.contains(QLatin1String("not yet in force in: b")));
    fixture.daemon.stop();
    cr_assert(fixture.apply(2, withRate(70), wait).code == ExitCode::NotInForce);
    cr_assert_eq(fixture.storedRevision(), 3U);
}

Test(OperatorProcess, showsWhatADaemonAnswersAndSaysWhenNoneDoes)
{
    Fixture fixture;
    fixture.daemonAnswer = {{QStringLiteral("vm"), QStringLiteral("a1")}};
    cr_assert(fixture.run("status").output == QLatin1String("vm: a1\n"));
    cr_assert(fixture.run("program end a~1~2~a1~3").code == ExitCode::Success);
    cr_assert(fixture.daemonRequests.last()
              == QLatin1String("/v1/operator/programs/a~1~2~a1~3/end"));
    cr_assert(fixture.apply(0, document).code == ExitCode::Success);
    fixture.daemonAnswer = {{QStringLiteral("counts"), QJsonArray()}};
    cr_assert(fixture.run("report burn --json").code == ExitCode::Success);
    fixture.daemon.stop();
    cr_assert(fixture.run("status").code == ExitCode::DaemonUnreachable);
    cr_assert(fixture.run("report burn").code == ExitCode::DaemonUnreachable);
}
