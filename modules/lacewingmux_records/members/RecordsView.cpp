#include "lacewingmux_records/members/RecordsView.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr int maximumCount = 65535;               // sums of such counts do not overflow
constexpr qint64 maximumNumber = qint64{1} << 53; // JSON numbers represent all integers up to this

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

/** Returns a count of members, disks or groups, or the fallback if it is absent; nothing if it is
   no whole number from 0 to maximumCount. */
std::optional<int> countOf(const QJsonValue &value, int fallback)
{
    const int count = value.isUndefined() ? fallback : value.toInt(-1);
    return count >= 0 && count <= maximumCount ? std::optional(count) : std::nullopt;
}

std::optional<RecordsMember> memberOf(const QJsonObject &entry)
{
    RecordsMember member;
    member.vm.incarnation.vm = entry.value(QLatin1String("vm")).toString();
    member.vm.incarnation.zone = entry.value(QLatin1String("zone")).toString();
    // Stored as a string, because JSON numbers can't represent all 64-bit integers.
    bool hasDisk = false;
    member.vm.incarnation.incarnation =
            entry.value(QLatin1String("disk")).toString().toULongLong(&hasDisk);
    member.vm.address = entry.value(QLatin1String("address")).toString();
    const auto port = countOf(entry.value(QLatin1String("port")), 0);
    const auto syncSources = countOf(entry.value(QLatin1String("syncSources")), 0);
    const auto group = countOf(entry.value(QLatin1String("group")), 0);
    if (member.vm.incarnation.vm.isEmpty() || !hasDisk || !port || !syncSources || !group)
        return std::nullopt;
    member.vm.trafficPort = static_cast<std::uint16_t>(*port);
    member.vm.hasDataFolder = true;
    member.state = stateOf(entry.value(QLatin1String("state")).toString());
    member.syncSources = *syncSources;
    member.group = *group;
    // Unknown, so false, in a document that a VM of an earlier version has written.
    member.predecessorCopied = entry.value(QLatin1String("predecessorCopied")).toBool();
    return member;
}

/** Returns the members; nothing if one of them is invalid, as quorums are computed from all. */
std::optional<std::vector<RecordsMember>> membersOf(const QJsonValue &entries)
{
    if (!entries.isUndefined() && !entries.isArray())
        return std::nullopt;
    std::vector<RecordsMember> members;
    for (const QJsonValue entry : entries.toArray()) {
        const auto member = memberOf(entry.toObject());
        if (!member)
            return std::nullopt;
        members.push_back(*member);
    }
    return members;
}

std::optional<std::vector<int>> groupSizesOf(const QJsonValue &entries)
{
    if (!entries.isUndefined() && !entries.isArray())
        return std::nullopt;
    std::vector<int> sizes;
    for (const QJsonValue entry : entries.toArray()) {
        const auto size = countOf(entry, 0);
        if (!size)
            return std::nullopt;
        sizes.push_back(*size);
    }
    return sizes;
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
            {QStringLiteral("group"), member.group},
            {QStringLiteral("predecessorCopied"), member.predecessorCopied}};
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

int RecordsView::lostDisks() const
{
    return static_cast<int>(
            std::count_if(this->members.begin(), this->members.end(), [this](const auto &entry) {
                return !entry.hasAllRecords() && !this->isStandby(entry)
                       && !entry.predecessorCopied;
            }));
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

bool RecordsView::needsLeavingCopies() const
{
    return this->storingCount() <= this->toleratedDisks
           && std::any_of(this->members.begin(), this->members.end(),
                          [](const auto &entry) { return entry.state == MemberState::Leaving; });
}

bool RecordsView::isDurable(const std::set<VmIncarnation> &holders) const
{
    int counted = 0;
    int leaving = 0;
    int allLeaving = 0;
    for (const RecordsMember &member : this->members) {
        const bool isHolder = holders.contains(member.vm.incarnation);
        counted += isHolder && this->countsAsCopy(member) ? 1 : 0;
        leaving += isHolder && member.state == MemberState::Leaving ? 1 : 0;
        allLeaving += member.state == MemberState::Leaving ? 1 : 0;
    }
    // Leaving members don't replace one whose copies count: they go without waiting for each other.
    const int needed = std::min(this->toleratedDisks + 1, this->storingCount() + allLeaving);
    return counted >= this->durableCopies()
           && (!this->needsLeavingCopies() || counted + leaving >= needed);
}

int RecordsView::reservationQuorum() const
{
    // A member doesn't count until it has copied a quorum's reservations. Otherwise its joining
    // could block the members that remain after the loss of another.
    const auto knowing = std::count_if(this->members.begin(), this->members.end(),
                                       [](const auto &entry) { return entry.hasAllRecords(); });
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
    const qint64 number = document.value(QLatin1String("number")).toInteger();
    const auto targetSize = countOf(document.value(QLatin1String("targetSize")), 0);
    const auto toleratedDisks = countOf(document.value(QLatin1String("toleratedDisks")), 1);
    const auto groupSizes = groupSizesOf(document.value(QLatin1String("groupSizes")));
    const auto members = membersOf(document.value(QLatin1String("members")));
    if (number <= 0 || number > maximumNumber || !targetSize || !toleratedDisks || !groupSizes
        || !members)
        return std::nullopt;
    RecordsView view;
    view.number = static_cast<std::uint64_t>(number);
    view.targetSize = *targetSize;
    view.toleratedDisks = *toleratedDisks;
    view.groupSizes = *groupSizes;
    view.isForming = document.value(QLatin1String("forming")).toBool();
    view.members = *members;
    const bool hasValidGroups =
            std::all_of(view.members.begin(), view.members.end(),
                        [&view](const auto &entry) { return entry.group < view.groupCount(); });
    return hasValidGroups ? std::optional(view) : std::nullopt;
}

} // namespace lacewingmux
