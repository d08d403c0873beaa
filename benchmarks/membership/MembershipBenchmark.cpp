#include "lacewingmux_zone/membership/MembershipCodec.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lacewingmux;

std::vector<VmDescriptor> membersOf(std::int64_t count)
{
    std::vector<VmDescriptor> members;
    members.reserve(static_cast<std::size_t>(count));
    for (std::int64_t index = 0; index < count; ++index) {
        VmDescriptor member;
        member.incarnation = {QStringLiteral("entry-vm-%1").arg(index), QStringLiteral("zone-a"),
                              1'796'344'140'836'170ULL};
        member.address = QStringLiteral("10.20.30.40");
        member.controlPort = 7001;
        member.trafficPort = 7002;
        members.push_back(member);
    }
    return members;
}

/** Returns a record with the maximum number of previous views. */
ZoneRecord fullRecord(std::int64_t memberCount)
{
    ZoneRecord record(QStringLiteral("zone-a"), membersOf(memberCount));
    for (std::size_t view = 0; view < ZoneRecord::maxPreviousViews; ++view)
        record = record.next(membersOf(memberCount));
    return record;
}

/** Encodes and decodes one heartbeat. */
void heartbeat(benchmark::State &state)
{
    const VmDescriptor sender = membersOf(1).front();
    std::int64_t bytes = 0;
    for (auto iteration : state) {
        const QByteArray payload = encodeHeartbeat(sender);
        benchmark::DoNotOptimize(decodeHeartbeat(payload));
        bytes = payload.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/** Encodes and decodes the announcement of one zone's view. */
void viewAnnouncement(benchmark::State &state)
{
    const ZoneRecord record = fullRecord(state.range(0));
    std::int64_t bytes = 0;
    for (auto iteration : state) {
        const QByteArray payload = encodeViewRecords({record});
        benchmark::DoNotOptimize(decodeViewRecords(payload));
        bytes = payload.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/** Serializes and parses a zone's record as kept in the platform's store. */
void storeRecord(benchmark::State &state)
{
    const ZoneRecord record = fullRecord(state.range(0));
    std::int64_t bytes = 0;
    for (auto iteration : state) {
        const QByteArray json = record.toJson();
        benchmark::DoNotOptimize(ZoneRecord::fromJson(json));
        bytes = json.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(heartbeat);
BENCHMARK(viewAnnouncement)->Arg(2)->Arg(8)->Arg(37);
BENCHMARK(storeRecord)->Arg(2)->Arg(8)->Arg(37);
