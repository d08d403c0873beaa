#include "lacewingmux_zone/membership/ZoneRecord.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux {

namespace {

using SharedView = std::shared_ptr<const ZoneView>;

QJsonObject memberToJson(const VmDescriptor &member)
{
    return QJsonObject{
            {QStringLiteral("vm"), member.incarnation.vm},
            {QStringLiteral("incarnation"), QString::number(member.incarnation.incarnation)},
            {QStringLiteral("address"), member.address},
            {QStringLiteral("controlPort"), member.controlPort},
            {QStringLiteral("trafficPort"), member.trafficPort},
            {QStringLiteral("dataFolder"), member.hasDataFolder}};
}

VmDescriptor memberFromJson(const QString &zone, const QJsonObject &json)
{
    VmDescriptor member;
    member.incarnation.zone = zone;
    member.incarnation.vm = json.value(QStringLiteral("vm")).toString();
    member.incarnation.incarnation =
            json.value(QStringLiteral("incarnation")).toString().toULongLong();
    member.address = json.value(QStringLiteral("address")).toString();
    member.controlPort =
            static_cast<std::uint16_t>(json.value(QStringLiteral("controlPort")).toInt());
    member.trafficPort =
            static_cast<std::uint16_t>(json.value(QStringLiteral("trafficPort")).toInt());
    member.hasDataFolder = json.value(QStringLiteral("dataFolder")).toBool();
    if (member.incarnation.vm.isEmpty())
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("a zone record has a member without a name"));
    return member;
}

QJsonObject viewToJson(const ZoneView &view)
{
    QJsonArray members;
    for (const VmDescriptor &member : view.members())
        members.append(memberToJson(member));
    return QJsonObject{{QStringLiteral("epoch"), QString::number(view.epoch())},
                       {QStringLiteral("members"), members}};
}

SharedView viewFromJson(const QString &zone, const QJsonObject &json)
{
    const std::uint64_t epoch = json.value(QStringLiteral("epoch")).toString().toULongLong();
    if (epoch == 0)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("a zone record has a view without an epoch"));
    std::vector<VmDescriptor> members;
    for (const QJsonValue member : json.value(QStringLiteral("members")).toArray())
        members.push_back(memberFromJson(zone, member.toObject()));
    return std::make_shared<ZoneView>(zone, epoch, std::move(members));
}

} // namespace

ZoneRecord::ZoneRecord(const QString &zone, std::vector<VmDescriptor> members)
    : currentView(std::make_shared<ZoneView>(zone, 1, std::move(members)))
{ }

ZoneRecord::ZoneRecord(std::shared_ptr<const ZoneView> view,
                       std::vector<std::shared_ptr<const ZoneView>> viewsBefore)
    : currentView(std::move(view))
    , earlierViews(std::move(viewsBefore))
{ }

ZoneRecord ZoneRecord::next(std::vector<VmDescriptor> members) const
{
    ZoneRecord record;
    record.currentView = std::make_shared<ZoneView>(this->currentView->zone(), this->epoch() + 1,
                                                    std::move(members));
    record.earlierViews.push_back(this->currentView);
    for (const SharedView &view : this->earlierViews) {
        if (record.earlierViews.size() < maxPreviousViews)
            record.earlierViews.push_back(view);
    }
    return record;
}

std::uint64_t ZoneRecord::epoch() const noexcept
{
    return this->currentView->epoch();
}

ViewHistory ZoneRecord::history() const
{
    ViewHistory history;
    history.add(this->currentView);
    for (const SharedView &view : this->earlierViews)
        history.add(view);
    return history;
}

QByteArray ZoneRecord::storeKey(const QString &zone)
{
    return QByteArray(storePrefix) + zone.toUtf8();
}

QByteArray ZoneRecord::toJson() const
{
    QJsonObject json = viewToJson(*this->currentView);
    json.insert(QStringLiteral("zone"), this->currentView->zone());
    QJsonArray history;
    for (const SharedView &view : this->earlierViews)
        history.append(viewToJson(*view));
    json.insert(QStringLiteral("history"), history);
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

ZoneRecord ZoneRecord::fromJson(const QByteArray &json)
{
    const QJsonObject object = QJsonDocument::fromJson(json).object();
    const QString zone = object.value(QStringLiteral("zone")).toString();
    if (zone.isEmpty())
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("a zone record has no zone"));
    ZoneRecord record;
    record.currentView = viewFromJson(zone, object);
    for (const QJsonValue view : object.value(QStringLiteral("history")).toArray())
        record.earlierViews.push_back(viewFromJson(zone, view.toObject()));
    return record;
}

} // namespace lacewingmux
