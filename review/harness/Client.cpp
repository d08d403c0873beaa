#include "Client.h"

#include "Fleet.h"
#include "Record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace review {

using std::chrono::milliseconds;

namespace {

QJsonObject route(const char *name, const char *prefix, const char *type, const char *service,
                  int timeout)
{
    return {{"name", name},           {"host", "site.example"}, {"prefix", prefix},
            {"type", type},           {"service", service},     {"timeoutMs", timeout},
            {"targetLatencyMs", 250}, {"priority", 1},          {"attempts", 2},
            {"public", false}};
}

} // namespace

std::string configurationText(int requestsPerSecond)
{
    QJsonObject chat = route("chat", "/chat/", "stream", "model", 5000);
    chat.insert("sticky", true);
    chat.insert("retain", true);
    chat.insert("retentionS", 60.0);
    chat.insert("resumable", false);
    chat.insert("gapAimMs", 300);
    QJsonObject ask = route("ask", "/ask/", "stream", "model", 5000);
    ask.insert("sticky", true);
    ask.insert("retain", false);
    ask.insert("retentionS", 60.0);
    ask.insert("resumable", true);
    ask.insert("gapAimMs", 300);
    const QJsonObject engine{{"slots", 64}, {"kvCapacityTokens", 1324158}, {"tokensPerEvent", 2}};
    return QJsonDocument(
                   QJsonObject{{"version", 7},
                               {"routes",
                                QJsonArray{chat, ask, route("look", "/look/", "safe", "desk", 1500),
                                           route("book", "/book/", "unsafe", "desk", 2000)}},
                               {"services", QJsonArray{QJsonObject{{"name", "model"},
                                                                   {"healthPath", "/health"},
                                                                   {"maxConns", 360},
                                                                   {"protocol", "h1"},
                                                                   {"tls", false},
                                                                   {"engine", engine}},
                                                       QJsonObject{{"name", "desk"},
                                                                   {"healthPath", "/health"},
                                                                   {"maxConns", 100},
                                                                   {"protocol", "h1"},
                                                                   {"tls", false}}}},
                               {"limits", QJsonObject{{"maxHeaderBytes", 16384},
                                                      {"maxBodyBytes", 4194304},
                                                      {"headerTimeoutMs", 3000},
                                                      {"idleTimeoutMs", 15000}}},
                               {"tenants", QJsonArray{QJsonObject{{"name", "hule930"},
                                                                  {"apiKeys", QJsonArray{apiKey}},
                                                                  {"priority", 1},
                                                                  {"ratePerS", requestsPerSecond},
                                                                  {"burst", requestsPerSecond}}}}})
            .toJson(QJsonDocument::Compact)
            .toStdString();
}

Answer sendCall(const Vm &vm, const std::string &method, const std::string &target, Fields more,
                const std::string &body, milliseconds timeLeft, const std::string &requestId,
                bool isRecorded)
{
    Fields fields{{"Host", "site.example"},
                  {"Lacewingmux-Request-Id", requestId},
                  {"Lacewingmux-Deadline-Ms", std::to_string(timeLeft.count())},
                  {"Authorization", std::string("Token ") + apiKey}};
    fields.insert(fields.end(), more.begin(), more.end());
    if (isRecorded)
        Record::write("client sends %s %s%s%s to %s", requestId.c_str(), target.c_str(),
                      fieldOf(fields, "Lacewingmux-Previous-Turn").empty() ? "" : " after ",
                      fieldOf(fields, "Lacewingmux-Previous-Turn").c_str(), vm.name.c_str());
    Answer answer = call(vm.address, Vm::ingressPort, method, target, fields, body,
                         timeLeft + milliseconds(500));
    if (isRecorded || answer.status != 200 || !answer.complete)
        Record::write("client gets %s: status %d, %s%s%s", requestId.c_str(), answer.status,
                      answer.complete ? "whole" : "not whole", answer.status >= 300 ? ", " : "",
                      answer.status >= 300 ? answer.body.c_str() : "");
    return answer;
}

Program::Program(milliseconds timeObjective, long tokenBudget)
    : id(newRequestId().substr(0, 8))
    , session(newRequestId().substr(0, 8))
    , budget(tokenBudget)
    , due(Clock::now() + timeObjective)
{ }

milliseconds Program::timeLeft() const
{
    return std::chrono::floor<milliseconds>(this->due - Clock::now());
}

Answer Program::attempt(const Vm &vm, const std::string &input, const std::string &requestId,
                        bool isRecorded)
{
    Fields fields{{"Lacewingmux-Program-Id", this->id},
                  {"Lacewingmux-Session-Id", this->session},
                  {"Lacewingmux-Program-Deadline-Ms", std::to_string(this->timeLeft().count())},
                  {"Lacewingmux-Token-Budget", std::to_string(this->budget)},
                  {"Lacewingmux-Token-Usage", "900," + std::to_string(this->maximumTokens)},
                  {"Lacewingmux-Model", "m"},
                  {"Lacewingmux-Prefix-Hash", "5c1e07a2:800," + this->session + ":100"}};
    if (!this->lastTurn.empty())
        fields.emplace_back("Lacewingmux-Previous-Turn", this->lastTurn);
    Answer answer = sendCall(vm, "POST", this->path, fields, input, milliseconds(5000), requestId,
                             isRecorded);
    if (answer.status == 200 && answer.complete) {
        this->lastTurn = requestId;
        this->lastTurnEnded = answer.endedAt;
    }
    return answer;
}

milliseconds retryAfter(const Answer &answer)
{
    const std::string text = fieldOf(answer.fields, "Retry-After");
    return milliseconds(text.empty() ? 0 : static_cast<long>(std::stod(text) * 1000));
}

} // namespace review
