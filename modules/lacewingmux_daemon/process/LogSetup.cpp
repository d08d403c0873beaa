#include "lacewingmux_daemon/process/LogSetup.h"

#include "lacewingmux_daemon/settings/DaemonSettings.h"

#include <glog/logging.h>

namespace lacewingmux {

namespace {

constexpr int largestLogFileMegabytes = 100;

int severityOf(const QString &level)
{
    if (level == QLatin1String("warning"))
        return google::GLOG_WARNING;
    if (level == QLatin1String("error"))
        return google::GLOG_ERROR;
    return google::GLOG_INFO;
}

} // namespace

LogSetup::LogSetup(const char *programName, const LogSettings &settings)
{
    FLAGS_logtostderr = settings.folder.isEmpty();
    FLAGS_log_dir = settings.folder.toStdString();
    FLAGS_minloglevel = severityOf(settings.level);
    FLAGS_max_log_size = largestLogFileMegabytes;
    FLAGS_stop_logging_if_full_disk = true;
    google::InitGoogleLogging(programName);
    google::InstallFailureSignalHandler(); // a crash leaves its stack in the log
}

LogSetup::~LogSetup()
{
    google::ShutdownGoogleLogging();
}

} // namespace lacewingmux
