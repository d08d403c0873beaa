#pragma once

namespace lacewingmux {

/** Exit codes of lacewingmuxd. The numbers are part of its command line interface. */
enum DaemonExitCode {
    StoppedAsPlanned = 0, ///< also after --check-config, --describe-settings, --help, --version
    Failed = 1,           ///< the daemon could not start or had to end early
    WrongCommandLine = 2,
    InvalidSettings = 3
};

} // namespace lacewingmux
