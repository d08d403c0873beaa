#include "lacewingmux_operator/commands/ExitCode.h"

namespace lacewingmux {

ExitCode exitCodeFor(ErrorKind kind) noexcept
{
    switch (kind) {
    case ErrorKind::ConfigurationConflict:
        return ExitCode::Conflict;
    case ErrorKind::ConfigurationInvalid:
    case ErrorKind::UnknownProgram:
        return ExitCode::Invalid;
    case ErrorKind::MalformedRequest:
        return ExitCode::WrongCommandLine;
    case ErrorKind::StoreUnavailable:
        return ExitCode::StoreUnavailable;
    case ErrorKind::StoreResultUnknown:
        return ExitCode::ResultUnknown;
    case ErrorKind::OwnerUnavailable:
        return ExitCode::DaemonUnreachable;
    default:
        return ExitCode::Failed;
    }
}

} // namespace lacewingmux
