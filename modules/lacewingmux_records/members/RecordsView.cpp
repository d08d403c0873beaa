#include "lacewingmux_records/members/RecordsView.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

QString stateName(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return QStringLiteral("joining");
    case MemberState::Synced:
        return QStringLiteral("synced");
    case MemberState::Leaving:
        return QStringLiteral("leaving");
    }
    return {};
}

MemberState stateOf(const QString &name)
{
    if (name == QLatin1String("synced"))
        return MemberState::Synced;
    return name == QLatin1String("leaving") ? MemberState::Leaving : MemberState::Joining;
}

RecordsMember memberOf(const QJsonObject &entry)
{
    RecordsMember member;
    member.vm.incarnation.vm = entry.value(QLatin1String("vm")).toString();
    member.vm.incarnation.zone = entry.value(QLatin1String("zone")).toString();
    // Stored as a string, because JSON numbers can't represent all 64-bit integers.
    member.vm.incarnation.incarnation = entry.value(QLatin1String("disk")).toString().toULongLong();
    member.vm.address = entry.value(QLatin1String("address")).toString();
    member.vm.trafficPort = static_cast<std::uint16_t>(entry.value(QLatin1String("port")).toInt());
    member.vm.hasDataFolder = true;
    member.state = stateOf(entry.value(QLatin1String("state")).toString());
    member.syncSources = entry.value(QLatin1String("syncSources")).toInt();
    member.group = entry.value(QLatin1String("group")).toInt();
    return member;
}

QJsonObject entryOf(const RecordsMember &member)
{
    const VmIncarnation &incarnation = member.vm.incarnation;
    return {{QStringLiteral("vm"), incarnation.vm},
            {QStringLiteral("zone"), incarnation.zone},
            {QStringLiteral("disk"), QString::number(incarnation.incarnation)},
            {QStringLiteral("address"), member.vm.address},
            {QStringLiteral("port"), member.vm.trafficPort},
            {QStringLiteral("state"), stateName(member.state)},
            {QStringLiteral("syncSources"), member.syncSources},
            {QStringLiteral("group"), member.group}};
}

} // namespace

const RecordsMember *RecordsView::member(const VmIncarnation &incarnation) const
{
    const auto found = std::find_if(
            this->members.begin(), this->members.end(),
            [&incarnation](const auto &entry) { return entry.vm.incarnation == incarnation; });
    return found == this->members.end() ? nullptr : &*found;
}

int RecordsView::groupCount() const
{
    return std::max(1, static_cast<int>(this->groupSizes.size()));
}

int RecordsView::groupOf(const QByteArray &name) const
{
    return static_cast<int>(stableHash(name) % static_cast<std::uint64_t>(this->groupCount()));
}

RecordsView RecordsView::ofGroup(int group) const
{
    if (this->groupCount() == 1)
        return *this;
    RecordsView part = *this;
    part.targetSize = this->groupSizes[static_cast<std::size_t>(group)];
    std::erase_if(part.members, [group](const auto &entry) { return entry.group != group; });
    return part;
}

const RecordsMember *RecordsView::memberOnVm(const QString &vm) const
{
    const auto found =
            std::find_if(this->members.begin(), this->members.end(),
                         [&vm](const auto &entry) { return entry.vm.incarnation.vm == vm; });
    return found == this->members.end() ? nullptr : &*found;
}

std::vector<VmDescriptor> RecordsView::descriptors() const
{
    std::vector<VmDescriptor> all;
    all.reserve(this->members.size());
    for (const RecordsMember &entry : this->members)
        all.push_back(entry.vm);
    return all;
}

std::vector<VmIncarnation> RecordsView::incarnations() const
{
    std::vector<VmIncarnation> all;
    all.reserve(this->members.size());
    for (const RecordsMember &entry : this->members)
        all.push_back(entry.vm.incarnation);
    return all;
}

void RecordsView::logAdoption() const
{
    LogEvent(LogSeverity::Info, "recordsViewAdopted")
            .field("number", static_cast<quint64>(this->number))
            .field("members", static_cast<qint64>(this->members.size()))
            .field("synced", this->syncedCount())
            .field("groups", this->groupCount())
            .field("forming", this->isForming);
}

bool RecordsView::isStandby(const RecordsMember &entry) const
{
    return entry.state == MemberState::Joining && this->syncedCount() >= this->targetSize;
}

bool RecordsView::countsAsCopy(const RecordsMember &entry) const
{
    return entry.state != MemberState::Leaving && !this->isStandby(entry);
}

int RecordsView::storingCount() const
{
    return static_cast<int>(
            std::count_if(this->members.begin(), this->members.end(),
                          [this](const auto &entry) { return this->countsAsCopy(entry); }));
}

int RecordsView::syncedCount() const
{
    return static_cast<int>(
            std::count_if(this->members.begin(), this->members.end(),
                          [](const auto &entry) { return entry.state == MemberState::Synced; }));
}

int RecordsView::durableCopies() const
{
    return std::min(this->toleratedDisks + 1, this->storingCount());
}

int RecordsView::reservationQuorum() const
{
    // A joining member doesn't count until it has copied a quorum's reservations. Otherwise its
    // joining could block the members that remain after the loss of another.
    const auto knowing =
            std::count_if(this->members.begin(), this->members.end(),
                          [](const auto &entry) { return entry.state != MemberState::Joining; });
    return static_cast<int>(knowing) / 2 + 1;
}

bool RecordsView::isReservationQuorum(std::ptrdiff_t knowing, std::ptrdiff_t copies) const
{
    return knowing >= this->reservationQuorum() && copies >= this->durableCopies();
}

int RecordsView::absenceQuorum() const
{
    const auto holders =
            std::count_if(this->members.begin(), this->members.end(),
                          [this](const auto &entry) { return !this->isStandby(entry); });
    return std::max(1, static_cast<int>(holders) - this->durableCopies() + 1);
}

QByteArray RecordsView::toDocument() const
{
    QJsonArray entries;
    for (const RecordsMember &member : this->members)
        entries.append(entryOf(member));
    QJsonArray sizes;
    for (const int size : this->groupSizes)
        sizes.append(size);
    const QJsonObject document{{QStringLiteral("number"), static_cast<qint64>(this->number)},
                               {QStringLiteral("targetSize"), this->targetSize},
                               {QStringLiteral("toleratedDisks"), this->toleratedDisks},
                               {QStringLiteral("groupSizes"), sizes},
                               {QStringLiteral("forming"), this->isForming},
                               {QStringLiteral("members"), entries}};
    return QJsonDocument(document).toJson(QJsonDocument::Compact);
}

std::optional<RecordsView> RecordsView::fromDocument(const QByteArray &text)
{
    const QJsonObject document = QJsonDocument::fromJson(text).object();
    RecordsView view;
    view.number = static_cast<std::uint64_t>(document.value(QLatin1String("number")).toInteger());
    view.targetSize = document.value(QLatin1String("targetSize")).toInt();
    view.toleratedDisks = document.value(QLatin1String("toleratedDisks")).toInt(1);
    for (const QJsonValue entry : document.value(QLatin1String("members")).toArray())
        view.members.push_back(memberOf(entry.toObject()));
    for (const QJsonValue size : document.value(QLatin1String("groupSizes")).toArray())
        view.groupSizes.push_back(size.toInt());
    view.isForming = document.value(QLatin1String("forming")).toBool();
    const bool hasValidGroups =
            std::all_of(view.members.begin(), view.members.end(), [&view](const auto &entry) {
                return entry.group >= 0 && entry.group < view.groupCount();
            });
    if (view.number == 0 || !hasValidGroups)
        return std::nullopt;
    return view;
}

} // namespace lacewingmux
