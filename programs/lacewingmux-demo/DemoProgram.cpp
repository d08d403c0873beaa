#include "DemoProgram.h"

#include "DemoDeployment.h"
#include "deployment/BlockingHttp.h"
#include "deployment/EventLoopWait.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <algorithm>
#include <iostream>
#include <stdexcept>

using namespace lacewingmux::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds requestTimeout{10000};
constexpr std::chrono::milliseconds retryPause{200};
constexpr std::chrono::milliseconds toolPause{800};
constexpr int mostTries = 100;

const QString bookingText = QStringLiteral("truck visit for kiosk 4711");

void rest(std::chrono::milliseconds pause)
{
    static_cast<void>(waitUntil([] { return false; }, pause));
}

QJsonObject errorOf(const QByteArray &body)
{
    return QJsonDocument::fromJson(body).object().value(QStringLiteral("error")).toObject();
}

} // namespace

DemoProgram::DemoProgram(DemoDeployment &demoDeployment)
    : deployment(demoDeployment)
{ }

void DemoProgram::killDuringRun(const QString &vm)
{
    this->vmToKill = vm;
}

bool DemoProgram::run()
{
    const QString program = this->open(QString());
    this->ask(program, 1, QStringLiteral("The coin box of kiosk 4711 is stuck"));
    this->book(program, 2);
    this->runSubAgent(program);
    this->ask(program, 3, QStringLiteral("What should the technician bring"));

    const Answer history = this->sendUntilAnswered(
            "GET", QStringLiteral("/v1/programs/%1/history").arg(program), {});
    this->report(QStringLiteral("history read"), history);
    this->report(QStringLiteral("program ended"),
                 this->sendUntilAnswered("DELETE", QStringLiteral("/v1/programs/") + program, {}));

    const int bookings = this->countBookings();
    std::cout << "The booking ran " << bookings << (bookings == 1 ? " time." : " times.")
              << std::endl;
    return bookings == 1;
}

QString DemoProgram::open(const QString &parent)
{
    QJsonObject body;
    if (!parent.isEmpty())
        body.insert(QStringLiteral("parent"), parent);
    const Answer answer = this->sendUntilAnswered("POST", QStringLiteral("/v1/programs"), body);
    const QString id = QJsonDocument::fromJson(answer.body)
                               .object()
                               .value(QStringLiteral("program"))
                               .toString();
    this->report((parent.isEmpty() ? QStringLiteral("opened ") : QStringLiteral("sub-agent ")) + id,
                 answer);
    return id;
}

void DemoProgram::ask(const QString &program, int number, const QString &question)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("user")},
                              {QStringLiteral("content"), question}};
    const QJsonObject body{{QStringLiteral("route"), QStringLiteral("fault-assistant")},
                           {QStringLiteral("messages"), QJsonArray{message}}};
    const QString path = QStringLiteral("/v1/programs/%1/calls/%2").arg(program).arg(number);
    this->report(QStringLiteral("call %1, model").arg(number),
                 this->sendUntilAnswered("POST", path, body));
}

void DemoProgram::book(const QString &program, int number)
{
    const QJsonObject booking{{QStringLiteral("order"), bookingText}};
    const QJsonObject body{{QStringLiteral("route"), QStringLiteral("dispatch")},
                           {QStringLiteral("method"), QStringLiteral("POST")},
                           {QStringLiteral("path"), QStringLiteral("/bookings")},
                           {QStringLiteral("body"), booking}};
    const QString path = QStringLiteral("/v1/programs/%1/calls/%2").arg(program).arg(number);
    const Answer answer = this->sendUntilAnswered("POST", path, body);
    this->report(QStringLiteral("call %1, booking").arg(number), answer);
    if (this->vmToKill.isEmpty())
        return;
    std::cout << "Killing " << this->vmToKill.toStdString() << std::endl;
    this->deployment.system().daemon(this->vmToKill).process().kill();
    this->report(QStringLiteral("call %1 again").arg(number),
                 this->sendUntilAnswered("POST", path, body));
}

void DemoProgram::runSubAgent(const QString &parent)
{
    std::cout << "Tool pause of " << toolPause.count() << " ms; a sub-agent works meanwhile"
              << std::endl;
    const QString agent = this->open(parent);
    this->ask(agent, 1, QStringLiteral("Which parts does a coin box of 2019 need"));
    rest(toolPause);
}

int DemoProgram::countBookings() const
{
    int count = 0;
    for (const QString &service : DemoDeployment::bookingServices()) {
        QUrl url = this->deployment.system().backendUrl(service);
        url.setPath(QStringLiteral("/v1/standin/runs"));
        for (const QJsonValue run : getJson(url).value(QStringLiteral("runs")).toArray()) {
            const QString body = run.toObject().value(QStringLiteral("body")).toString();
            count += body.contains(bookingText) ? 1 : 0;
        }
    }
    return count;
}

DemoProgram::Answer DemoProgram::sendUntilAnswered(const QByteArray &method, const QString &path,
                                                   const QJsonObject &body)
{
    const QStringList vms = DemoDeployment::vms();
    for (int tries = 0; tries < mostTries; ++tries) {
        const QString &vm = vms.at(this->nextVm++ % vms.size());
        const Answer answer = this->send(vm, method, path, body);
        if (answer.status / 100 == 2)
            return answer;
        const QJsonObject error = errorOf(answer.body);
        const auto retryAfter =
                std::chrono::milliseconds(error.value(QStringLiteral("retryAfterMs")).toInteger());
        if (!error.isEmpty() && retryAfter.count() == 0)
            throw std::runtime_error("refused for good: " + answer.body.toStdString());
        if (!error.isEmpty())
            std::cout << "  " << vm.toStdString() << " refuses ("
                      << error.value(QStringLiteral("kind")).toString().toStdString()
                      << "), trying the next one" << std::endl;
        rest(std::max(retryAfter, retryPause));
    }
    throw std::runtime_error("no answer for " + path.toStdString());
}

DemoProgram::Answer DemoProgram::send(const QString &vm, const QByteArray &method,
                                      const QString &path, const QJsonObject &body)
{
    QUrl url = this->deployment.system().daemon(vm).callers();
    url.setPath(path);
    QNetworkRequest request(url);
    request.setRawHeader("Authorization", "Bearer " + this->deployment.key());
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/json"));
    request.setTransferTimeout(static_cast<int>(requestTimeout.count()));

    QNetworkAccessManager manager;
    const QByteArray content =
            body.isEmpty() ? QByteArray() : QJsonDocument(body).toJson(QJsonDocument::Compact);
    const std::unique_ptr<QNetworkReply> reply(manager.sendCustomRequest(request, method, content));
    if (!waitUntil([&reply] { return reply->isFinished(); }, 2 * requestTimeout))
        return {};
    return {reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt(), reply->readAll(),
            reply->rawHeader("Lacewingmux-Replica"), reply->rawHeader("Lacewingmux-Zone")};
}

void DemoProgram::report(const QString &step, const Answer &answer) const
{
    std::cout << "  " << step.toStdString();
    if (!answer.replica.isEmpty())
        std::cout << ": zone " << answer.zone.toStdString() << ", replica "
                  << answer.replica.toStdString();
    std::cout << std::endl;
}
