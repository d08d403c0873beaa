#pragma once

namespace lacewingmux {

/** How lacewingmuxd ends. The numbers are part of its interface. */
enum DaemonExitCode {
    StoppedAsPlanned = 0, ///< or only the check, the help or the version was asked for
    Failed = 1,           ///< the daemon could not start or had to end
    WrongCommandLine = 2,
    FaultySettings = 3
};

} // namespace lacewingmux
