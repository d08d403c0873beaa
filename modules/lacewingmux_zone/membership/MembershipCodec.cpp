#include "lacewingmux_zone/membership/MembershipCodec.h"

#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_zone/messages/zone_generated.h"

namespace lacewingmux {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

QString text(const flatbuffers::String &string)
{
    return QString::fromUtf8(string.c_str(), static_cast<qsizetype>(string.size()));
}

Offset<fb::Member> encodeMember(FlatBufferBuilder &builder, const VmDescriptor &member)
{
    return fb::CreateMemberDirect(builder, member.incarnation.vm.toUtf8().constData(),
                                  member.incarnation.zone.toUtf8().constData(),
                                  member.incarnation.incarnation,
                                  member.address.toUtf8().constData(), member.controlPort,
                                  member.trafficPort, member.hasDataFolder);
}

VmDescriptor decodeMember(const fb::Member &table)
{
    VmDescriptor member;
    member.incarnation = {text(*table.vm()), text(*table.zone()), table.incarnation()};
    member.address = text(*table.address());
    member.controlPort = table.control_port();
    member.trafficPort = table.traffic_port();
    member.hasDataFolder = table.has_data_folder();
    return member;
}

Offset<fb::View> encodeView(FlatBufferBuilder &builder, const ZoneView &view)
{
    std::vector<Offset<fb::Member>> members;
    members.reserve(view.members().size());
    for (const VmDescriptor &member : view.members())
        members.push_back(encodeMember(builder, member));
    return fb::CreateViewDirect(builder, view.zone().toUtf8().constData(), view.epoch(), &members);
}

std::shared_ptr<const ZoneView> decodeView(const fb::View &table)
{
    std::vector<VmDescriptor> members;
    members.reserve(table.members()->size());
    for (const fb::Member *member : *table.members())
        members.push_back(decodeMember(*member));
    return std::make_shared<ZoneView>(text(*table.zone()), table.epoch(), std::move(members));
}

Offset<fb::ViewRecord> encodeRecord(FlatBufferBuilder &builder, const ZoneRecord &record)
{
    std::vector<Offset<fb::View>> history;
    history.reserve(record.previousViews().size());
    for (const auto &view : record.previousViews())
        history.push_back(encodeView(builder, *view));
    return fb::CreateViewRecordDirect(builder, encodeView(builder, *record.view()), &history);
}

ZoneRecord decodeRecord(const fb::ViewRecord &table)
{
    std::vector<std::shared_ptr<const ZoneView>> history;
    history.reserve(table.history()->size());
    for (const fb::View *view : *table.history())
        history.push_back(decodeView(*view));
    return ZoneRecord(decodeView(*table.current()), std::move(history));
}

} // namespace

QByteArray encodeHeartbeat(const VmDescriptor &sender)
{
    FlatBufferBuilder builder;
    builder.Finish(fb::CreateHeartbeat(builder, encodeMember(builder, sender)));
    return payloadOf(builder);
}

std::optional<VmDescriptor> decodeHeartbeat(const QByteArray &payload)
{
    const auto *heartbeat = verifiedTable<fb::Heartbeat>(payload);
    if (heartbeat == nullptr)
        return std::nullopt;
    return decodeMember(*heartbeat->sender());
}

QByteArray encodeViewRecords(const std::vector<ZoneRecord> &records)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::ViewRecord>> tables;
    tables.reserve(records.size());
    for (const ZoneRecord &record : records)
        tables.push_back(encodeRecord(builder, record));
    builder.Finish(fb::CreateViewAnnouncementDirect(builder, &tables));
    return payloadOf(builder);
}

std::vector<ZoneRecord> decodeViewRecords(const QByteArray &payload)
{
    std::vector<ZoneRecord> records;
    const auto *announcement = verifiedTable<fb::ViewAnnouncement>(payload);
    if (announcement == nullptr)
        return records;
    records.reserve(announcement->records()->size());
    for (const fb::ViewRecord *record : *announcement->records())
        records.push_back(decodeRecord(*record));
    return records;
}

} // namespace lacewingmux
