#pragma once

#include <QJsonObject>
#include <QProcess>
#include <QProcessEnvironment>
#include <QString>
#include <QStringList>

#include <chrono>
#include <memory>
#include <optional>

namespace lacewingmux::standin {

/**
    One process of a local deployment. It is killed when the object is destroyed, and by the system
    when the process that made it ends in any other way.

    Signals go to its process id alone and only while it runs. Single-threaded; the waiting methods
    run the event loop.
*/
class ManagedProcess
{
public:
    /** Prepares a process; its output and errors go to the log file, if one is named. */
    ManagedProcess(QString programPath, QStringList programArguments, QString errorLogFile);
    ~ManagedProcess();
    ManagedProcess(const ManagedProcess &) = delete;
    ManagedProcess &operator=(const ManagedProcess &) = delete;

    /** Sets a variable of its environment, for the next start. */
    void setEnvironmentVariable(const QString &name, const QString &value);

    /** Appends its output to a file, for the next start; then nothing can be announced. */
    void setOutputFile(const QString &path);

    /** Starts it, also again after its end. Throws LacewingmuxError when it can't be started. */
    void start();

    /** Waits for its first line of output, a JSON object. Throws when none comes in time. */
    [[nodiscard]] QJsonObject waitForAnnouncement(std::chrono::milliseconds bound);

    /** Sends SIGKILL and waits for the end. */
    void kill();

    /** Sends SIGSTOP: the process stands still and keeps its connections. */
    void pause();

    /** Sends SIGCONT. */
    void resume();

    /** Sends SIGTERM, the request for a planned stop. */
    void terminate();

    /** Waits for its end; returns the exit code, or nothing when it still runs or was killed. */
    [[nodiscard]] std::optional<int> waitForExit(std::chrono::milliseconds bound);

    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] qint64 processId() const;

private:
    void signal(int number);

    QString program;
    QStringList arguments;
    QString logFile;
    QString outputFile;
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    std::unique_ptr<QProcess> process;
};

} // namespace lacewingmux::standin
