#include "lacewingmux_core/ids/MintedId.h"

#include <QStringList>

namespace lacewingmux {

namespace {

constexpr int numberBase = 36;
constexpr qsizetype fieldCount = 5;
constexpr QChar fieldSeparator = u'~';

} // namespace

MintedId::MintedId(QString zone, std::uint64_t epoch, QString vm, std::uint64_t incarnation,
                   std::uint64_t serial)
    : homeZone(std::move(zone))
    , zoneEpoch(epoch)
    , minterVm(std::move(vm))
    , minterIncarnation(incarnation)
    , serialNumber(serial)
{ }

std::optional<MintedId> MintedId::parse(const QString &text)
{
    const QStringList fields = text.split(fieldSeparator);
    if (fields.size() != fieldCount || fields[0].isEmpty() || fields[3].isEmpty())
        return std::nullopt;

    bool epochValid = false;
    bool incarnationValid = false;
    bool serialValid = false;
    const auto epoch = fields[1].toULongLong(&epochValid, numberBase);
    const auto incarnation = fields[2].toULongLong(&incarnationValid, numberBase);
    const auto serial = fields[4].toULongLong(&serialValid, numberBase);
    if (!epochValid || !incarnationValid || !serialValid)
        return std::nullopt;

    return MintedId(fields[0], epoch, fields[3], incarnation, serial);
}

QString MintedId::toString() const
{
    return QStringList{this->homeZone, QString::number(this->zoneEpoch, numberBase),
                       QString::number(this->minterIncarnation, numberBase), this->minterVm,
                       QString::number(this->serialNumber, numberBase)}
            .join(fieldSeparator);
}

} // namespace lacewingmux
