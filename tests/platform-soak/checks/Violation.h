#pragma once

#include <QByteArray>
#include <QString>

namespace lacewingmux::soak {

/** A promise that was not kept. */
struct Violation
{
    const char *promise = "";
    QByteArray request; ///< empty if it concerns no single request
    QString text;
};

} // namespace lacewingmux::soak
