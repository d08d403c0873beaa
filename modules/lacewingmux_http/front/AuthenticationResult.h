#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"

#include <QString>

namespace lacewingmux {

/** What a presented key proves. */
struct AuthenticationResult
{
    bool accepted = false;
    ErrorKind refusal = ErrorKind::Unauthenticated; ///< meaningful when not accepted
    QString team;
    QString keyId; ///< public name of the key
};

} // namespace lacewingmux
