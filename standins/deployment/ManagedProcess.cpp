#include "deployment/ManagedProcess.h"

#include "deployment/EventLoopWait.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonDocument>

#include <csignal>

#include <sys/prctl.h>

namespace lacewingmux::standin {

namespace {

constexpr std::chrono::seconds startBound{20};
constexpr std::chrono::seconds killBound{20};

} // namespace

ManagedProcess::ManagedProcess(QString programPath, QStringList programArguments,
                               QString errorLogFile)
    : program(std::move(programPath))
    , arguments(std::move(programArguments))
    , logFile(std::move(errorLogFile))
{ }

ManagedProcess::~ManagedProcess()
{
    this->kill();
}

void ManagedProcess::setEnvironmentVariable(const QString &name, const QString &value)
{
    this->environment.insert(name, value);
}

void ManagedProcess::setOutputFile(const QString &path)
{
    this->outputFile = path;
}

void ManagedProcess::start()
{
    this->process = std::make_unique<QProcess>();
    this->process->setProgram(this->program);
    this->process->setArguments(this->arguments);
    this->process->setProcessEnvironment(this->environment);
    if (!this->outputFile.isEmpty())
        this->process->setStandardOutputFile(this->outputFile, QIODevice::Append);
    if (!this->logFile.isEmpty())
        this->process->setStandardErrorFile(this->logFile, QIODevice::Append);
    // A failed test ends without destroying its deployment.
    this->process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    this->process->start();
    if (!this->process->waitForStarted(
                static_cast<int>(std::chrono::milliseconds(startBound).count())))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("%1 did not start: %2")
                                       .arg(this->program, this->process->errorString()));
}

QJsonObject ManagedProcess::waitForAnnouncement(std::chrono::milliseconds bound)
{
    const bool came =
            waitUntil([this] { return this->process->canReadLine() || !this->isRunning(); }, bound);
    const QJsonObject announcement = QJsonDocument::fromJson(this->process->readLine()).object();
    if (!came || announcement.isEmpty())
        throw LacewingmuxError(
                ErrorKind::InternalError,
                QStringLiteral("%1 announced nothing; see %2").arg(this->program, this->logFile));
    return announcement;
}

void ManagedProcess::kill()
{
    if (!this->isRunning())
        return;
    this->process->kill();
    this->process->waitForFinished(static_cast<int>(std::chrono::milliseconds(killBound).count()));
}

void ManagedProcess::pause()
{
    this->signal(SIGSTOP);
}

void ManagedProcess::resume()
{
    this->signal(SIGCONT);
}

void ManagedProcess::terminate()
{
    this->signal(SIGTERM);
}

std::optional<int> ManagedProcess::waitForExit(std::chrono::milliseconds bound)
{
    if (!waitUntil([this] { return !this->isRunning(); }, bound))
        return std::nullopt;
    if (this->process->exitStatus() != QProcess::NormalExit)
        return std::nullopt;
    return this->process->exitCode();
}

bool ManagedProcess::isRunning() const
{
    return this->process && this->process->state() != QProcess::NotRunning;
}

qint64 ManagedProcess::processId() const
{
    return this->process ? this->process->processId() : 0;
}

void ManagedProcess::signal(int number)
{
    const qint64 id = this->processId();
    if (id > 0 && this->isRunning())
        ::kill(static_cast<pid_t>(id), number);
}

} // namespace lacewingmux::standin
