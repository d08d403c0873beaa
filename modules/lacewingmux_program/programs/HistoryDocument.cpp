#include "lacewingmux_program/programs/HistoryDocument.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace lacewingmux {

namespace {

QJsonValue jsonOrText(const QByteArray &bytes)
{
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    if (document.isObject())
        return document.object();
    if (document.isArray())
        return document.array();
    return QString::fromUtf8(bytes);
}

void addOutcome(QJsonObject &object, const CallFinished &finish)
{
    object.insert(QStringLiteral("executed"), executedName(finish.executed));
    object.insert(QStringLiteral("tokens"), static_cast<qint64>(finish.chargedTokens));
    if (!finish.completed) {
        object.insert(QStringLiteral("error"), QString::fromLatin1(answerFor(finish.error).name));
        return;
    }
    object.insert(QStringLiteral("status"), finish.httpStatus);
    object.insert(QStringLiteral("answer"), jsonOrText(finish.body.unpack()));
    object.insert(QStringLiteral("replica"), finish.replica);
    object.insert(QStringLiteral("zone"), finish.zone);
}

QJsonObject callObject(const RecordedCall &call)
{
    QJsonObject object{{QStringLiteral("number"), static_cast<qint64>(call.start.number)},
                       {QStringLiteral("route"), call.start.route},
                       {QStringLiteral("request"), jsonOrText(call.start.body.unpack())},
                       {QStringLiteral("running"), !call.finish.has_value()}};
    if (call.finish)
        addOutcome(object, *call.finish);
    return object;
}

QJsonObject agentObject(const Program &program, const Agent &agent, bool isRoot)
{
    QJsonArray calls;
    for (const RecordedCall &call : agent.calls)
        calls.append(callObject(call));
    QJsonObject object{{QStringLiteral("program"), agent.id}, {QStringLiteral("calls"), calls}};
    if (!isRoot)
        object.insert(QStringLiteral("parent"), program.agents()[agent.parent].id);
    return object;
}

} // namespace

QJsonObject historyDocument(const Program &program, AgentIndex agent)
{
    QJsonArray agents;
    for (std::size_t index = 0; index < program.agents().size(); ++index) {
        // Index 0 is the root agent; its document lists all agents.
        if (agent == 0 || agent == index)
            agents.append(agentObject(program, program.agents()[index], index == 0));
    }
    const TokenBudget &budget = program.budget();
    return {{QStringLiteral("program"), program.agents()[agent].id},
            {QStringLiteral("ended"), program.agents()[agent].endReason.has_value()},
            {QStringLiteral("budget"),
             QJsonObject{{QStringLiteral("limit"), static_cast<qint64>(budget.limit())},
                         {QStringLiteral("spent"), static_cast<qint64>(budget.spent())},
                         {QStringLiteral("reserved"), static_cast<qint64>(budget.reserved())}}},
            {QStringLiteral("agents"), agents}};
}

} // namespace lacewingmux
