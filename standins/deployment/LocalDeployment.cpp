#include "deployment/LocalDeployment.h"

#include "deployment/BlockingHttp.h"
#include "deployment/EventLoopWait.h"
#include "deployment/StoreAdmin.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QProcess>

#include <algorithm>

namespace lacewingmux::standin {

namespace {

constexpr std::chrono::seconds startBound{60};
constexpr std::chrono::seconds controlBound{60};

std::uint16_t announcedPort(ManagedProcess &process)
{
    const QJsonObject announcement = process.waitForAnnouncement(startBound);
    return static_cast<std::uint16_t>(announcement.value(QStringLiteral("port")).toInt());
}

[[noreturn]] void fail(const QString &message)
{
    throw LacewingmuxError(ErrorKind::InternalError, message);
}

QString logFolderTemplate(const DeploymentPlan &plan)
{
    const QString parent = plan.logsParent.isEmpty() ? QDir::tempPath() : plan.logsParent;
    QDir().mkpath(parent);
    return parent + QStringLiteral("/deployment-XXXXXX");
}

} // namespace

LocalDeployment::LocalDeployment(DeploymentPlan deploymentPlan)
    : plan(std::move(deploymentPlan))
    , directory(logFolderTemplate(this->plan))
{
    if (!this->directory.isValid())
        fail(QStringLiteral("can't make the folder ") + this->directory.path());
    this->directory.setAutoRemove(qEnvironmentVariableIsEmpty("LACEWINGMUX_KEEP_LOGS"));
}

LocalDeployment::~LocalDeployment() = default;

void LocalDeployment::start()
{
    this->startStore();
    this->startBackends();
    this->applyConfiguration(this->plan.configuration, 0, false);
    this->makeDaemons();
    for (const auto &daemon : this->daemons)
        daemon->start(this->seeds());
    for (const auto &daemon : this->daemons) {
        if (!this->waitUntilReady(daemon->vm().vm, startBound))
            fail(QStringLiteral("%1 did not become ready; logs in %2")
                         .arg(daemon->vm().vm, this->folder()));
    }
}

void LocalDeployment::restart(const QString &vm)
{
    this->daemon(vm).start(this->seeds());
}

bool LocalDeployment::waitUntilReady(const QString &vm, std::chrono::milliseconds bound)
{
    const DaemonProcess &daemon = this->daemon(vm);
    return waitUntil([&daemon] { return daemon.isReady(); }, bound);
}

DaemonProcess &LocalDeployment::daemon(const QString &vm)
{
    const auto found = std::find_if(this->daemons.begin(), this->daemons.end(),
                                    [&vm](const auto &daemon) { return daemon->vm().vm == vm; });
    if (found == this->daemons.end())
        fail(QStringLiteral("no VM ") + vm);
    return **found;
}

void LocalDeployment::setStoreFaults(const QJsonObject &faults)
{
    StoreAdmin(this->storePort).setFaults(faults);
}

void LocalDeployment::putInStore(const QByteArray &key, const QByteArray &value)
{
    StoreAdmin(this->storePort).put(key, value);
}

ManagedProcess &LocalDeployment::backend(const QString &name)
{
    return *this->findBackend(name).process;
}

QUrl LocalDeployment::backendUrl(const QString &name) const
{
    const auto found =
            std::find_if(this->backends.begin(), this->backends.end(),
                         [&name](const Backend &backend) { return backend.planned.name == name; });
    if (found == this->backends.end())
        fail(QStringLiteral("no backend server ") + name);
    return loopbackUrl(found->port, QString());
}

void LocalDeployment::restartBackend(const QString &name)
{
    Backend &backend = this->findBackend(name);
    QStringList arguments = backend.planned.arguments;
    arguments << QStringLiteral("--port") << QString::number(backend.port);
    const QString program = backend.planned.isEngine
                                    ? QStringLiteral("lacewingmux-standin-engine")
                                    : QStringLiteral("lacewingmux-standin-service");
    backend.process = this->makeProcess(program, arguments, name);
    backend.process->start();
    backend.port = announcedPort(*backend.process);
}

void LocalDeployment::setBackendFaults(const QString &name, const QJsonObject &faults)
{
    QUrl url = this->backendUrl(name);
    url.setPath(QStringLiteral("/v1/standin/faults"));
    postJson(url, faults);
}

void LocalDeployment::setBackendLeaving(const QString &name, bool leaving)
{
    this->registerBackend(this->findBackend(name), leaving);
}

void LocalDeployment::cutZone(const QString &zone)
{
    for (const auto &target : this->daemons) {
        const bool targetInside = target->vm().zone == zone;
        std::vector<QHostAddress> cutSources;
        for (const auto &source : this->daemons) {
            if ((source->vm().zone == zone) != targetInside)
                cutSources.push_back(source->address());
        }
        target->cutSources([cutSources](const QHostAddress &source) {
            return std::find(cutSources.begin(), cutSources.end(), source) != cutSources.end();
        });
    }
}

void LocalDeployment::cutFromStore(const QString &vm)
{
    this->daemon(vm).storeRelay().cut();
}

void LocalDeployment::cutVm(const QString &vm)
{
    const QHostAddress address = this->daemon(vm).address();
    for (const auto &target : this->daemons) {
        const bool self = target->vm().vm == vm;
        target->cutSources(
                [self, address](const QHostAddress &source) { return self || source == address; });
    }
}

void LocalDeployment::mendAll()
{
    for (const auto &daemon : this->daemons) {
        daemon->cutSources(nullptr);
        daemon->storeRelay().mend();
    }
}

void LocalDeployment::applyConfiguration(const QJsonObject &configuration, int overRevision,
                                         bool wait)
{
    const QString path = this->folder() + QStringLiteral("/configuration.json");
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly))
        fail(QStringLiteral("can't write ") + path);
    file.write(QJsonDocument(configuration).toJson());
    file.close();
    QStringList arguments{QStringLiteral("config"), QStringLiteral("apply"), path,
                          QStringLiteral("--revision"), QString::number(overRevision)};
    if (wait) {
        arguments << QStringLiteral("--wait");
        for (const auto &daemon : this->daemons)
            arguments << QStringLiteral("--operator") << daemon->operators().toString();
    }
    this->runControl(arguments);
}

QByteArray LocalDeployment::issueKey(const QString &team)
{
    const QByteArray output =
            this->runControl({QStringLiteral("key"), QStringLiteral("issue"),
                              QStringLiteral("--team"), team, QStringLiteral("--json")});
    const QString key =
            QJsonDocument::fromJson(output).object().value(QStringLiteral("key")).toString();
    if (key.isEmpty())
        fail(QStringLiteral("no key was issued: ") + QString::fromUtf8(output));
    return key.toUtf8();
}

QByteArray LocalDeployment::runControl(const QStringList &arguments)
{
    QProcess process;
    QStringList all = arguments;
    all << QStringLiteral("--store") << loopbackUrl(this->storePort, QString()).toString();
    process.start(this->plan.binaryFolder + QStringLiteral("/lacewingmuxctl"), all);
    const bool ended =
            waitUntil([&process] { return process.state() == QProcess::NotRunning; }, controlBound);
    if (!ended || process.exitStatus() != QProcess::NormalExit || process.exitCode() != 0)
        fail(QStringLiteral("lacewingmuxctl %1 ended with %2: %3%4")
                     .arg(arguments.join(u' '))
                     .arg(process.exitCode())
                     .arg(QString::fromUtf8(process.readAllStandardError()),
                          QString::fromUtf8(process.readAllStandardOutput())));
    return process.readAllStandardOutput();
}

std::unique_ptr<ManagedProcess> LocalDeployment::makeProcess(const QString &program,
                                                             const QStringList &arguments,
                                                             const QString &name) const
{
    return std::make_unique<ManagedProcess>(this->plan.binaryFolder + u'/' + program, arguments,
                                            this->folder() + u'/' + name + QStringLiteral(".log"));
}

void LocalDeployment::startStore()
{
    this->storeProcess = this->makeProcess(QStringLiteral("lacewingmux-standin-store"), {},
                                           QStringLiteral("store"));
    this->storeProcess->start();
    this->storePort = announcedPort(*this->storeProcess);
}

void LocalDeployment::startBackends()
{
    for (const PlannedBackend &planned : this->plan.backends) {
        this->backends.push_back(Backend{planned, nullptr, 0});
        this->restartBackend(planned.name);
        this->registerBackend(this->backends.back(), false);
    }
}

void LocalDeployment::registerBackend(const Backend &backend, bool leaving)
{
    const PlannedBackend &planned = backend.planned;
    const QString vm = QStringLiteral("backend-") + planned.name;
    const QJsonObject record{
            {QStringLiteral("url"), loopbackUrl(backend.port, QString()).toString()},
            {QStringLiteral("route"), planned.route},
            {QStringLiteral("kind"),
             planned.isEngine ? QStringLiteral("engine") : QStringLiteral("service")},
            {QStringLiteral("wattsPerSequence"), planned.isEngine ? 100 : 0},
            {QStringLiteral("maxSequences"), 16},
            {QStringLiteral("checksFencing"), planned.checksFencing},
            {QStringLiteral("vm"), vm}};
    this->putInStore("lacewingmux/backends/" + planned.zone.toUtf8() + '/' + planned.name.toUtf8(),
                     QJsonDocument(record).toJson(QJsonDocument::Compact));
    const QJsonObject state{{QStringLiteral("vm"), vm},
                            {QStringLiteral("zone"), planned.zone},
                            {QStringLiteral("state"),
                             leaving ? QStringLiteral("leaving") : QStringLiteral("live")}};
    this->putInStore("platform/vms/" + vm.toUtf8(),
                     QJsonDocument(state).toJson(QJsonDocument::Compact));
}

void LocalDeployment::makeDaemons()
{
    DeploymentSurroundings surroundings;
    surroundings.folder = this->folder();
    surroundings.storePort = this->storePort;
    surroundings.sharedSecretFile = this->folder() + QStringLiteral("/secret");
    for (const PlannedVm &vm : this->plan.vms) {
        if (!surroundings.zones.contains(vm.zone))
            surroundings.zones.append(vm.zone);
    }

    QFile secret(surroundings.sharedSecretFile);
    if (!secret.open(QIODevice::WriteOnly))
        fail(QStringLiteral("can't write ") + surroundings.sharedSecretFile);
    secret.write("a secret of this local deployment alone");
    secret.close();

    int number = 0;
    for (const PlannedVm &vm : this->plan.vms)
        this->daemons.push_back(
                std::make_unique<DaemonProcess>(this->plan, vm, number++, surroundings));
}

QJsonArray LocalDeployment::seeds() const
{
    QJsonArray result;
    for (const auto &daemon : this->daemons)
        result.append(daemon->asSeed());
    return result;
}

LocalDeployment::Backend &LocalDeployment::findBackend(const QString &name)
{
    const auto found =
            std::find_if(this->backends.begin(), this->backends.end(),
                         [&name](const Backend &backend) { return backend.planned.name == name; });
    if (found == this->backends.end())
        fail(QStringLiteral("no backend server ") + name);
    return *found;
}

} // namespace lacewingmux::standin
