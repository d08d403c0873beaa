#include "lacewingmux_report/burn/BurnAlert.h"

namespace lacewingmux {

QString burnAlertName(BurnAlert alert)
{
    switch (alert) {
    case BurnAlert::None:
        return QStringLiteral("none");
    case BurnAlert::Ticket:
        return QStringLiteral("ticket");
    case BurnAlert::Page:
        return QStringLiteral("page");
    }
    return QStringLiteral("none");
}

} // namespace lacewingmux
