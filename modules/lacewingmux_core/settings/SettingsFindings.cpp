#include "lacewingmux_core/settings/SettingsFindings.h"

#include <QStringList>

namespace lacewingmux {

QString SettingsFault::toString() const
{
    return (this->path.isEmpty() ? QStringLiteral("document") : this->path) + QStringLiteral(": ")
           + this->message;
}

QString SettingsField::toTableRow() const
{
    const QStringList cells{u'`' + this->path + u'`', this->type, this->range, this->fallback,
                            this->meaning};
    return QStringLiteral("| ") + cells.join(QStringLiteral(" | ")) + QStringLiteral(" |");
}

QString SettingsFindings::faultText() const
{
    QStringList lines;
    for (const SettingsFault &fault : this->faults)
        lines.push_back(fault.toString());
    return lines.join(u'\n');
}

} // namespace lacewingmux
