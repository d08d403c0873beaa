#include "bytes/MutatedBytes.h"
#include "lacewingmux_gateway/replicas/CrashCorrelator.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <criterion/criterion.h>

#include <vector>

using namespace lacewingmux;

// Guards against one malformed message that ends a process: every decoder of what other VMs, the
// store and the disk hand over gets seeded damaged messages. It may refuse them or read them as
// something else, but must return.

namespace {

constexpr int roundsPerMessage = 3000;

std::vector<QByteArray> messages()
{
    Record record;
    record.key = "request";
    record.program = "program";
    record.team = "team";
    record.parent = "parent";
    record.input = "input";
    record.output = "output\n";
    record.tokens = 7;
    OpenTurnMessage open{record, "team", "parent", true};
    OpenTurnReplyMessage reply;
    reply.reservations.push_back({"request", 5, true});
    reply.history = "history";
    PullKeysMessage pull{3, true, {1, 2}};
    PullKeysReplyMessage names;
    names.names.push_back({RecordKind::Settlement, "request", "program"});
    GrantTokensMessage grant;
    grant.demands.push_back({"team", 3, 4, 5, 0.5});
    GrantTokensReplyMessage granted;
    granted.grants.push_back({"team", 2, std::chrono::milliseconds(3), true, 2});
    return {RecordsCodec::encodeRecord(record),
            RecordsCodec::encodeRecords({record, record}),
            RecordsCodec::encodeOpen(open),
            RecordsCodec::encodeOpenReply(reply),
            RecordsCodec::encodeNotice("{}"),
            RecordsCodec::encodePull(pull),
            RecordsCodec::encodePullReply(names),
            RecordsCodec::encodeFetch(names.names),
            RecordsCodec::encodeGrant(grant),
            RecordsCodec::encodeGrantReply(granted),
            RecordsCodec::encodeCrash({"digest", "crash"}),
            RecordsCodec::encodeConfiguration({5, "{}"})};
}

/** Decodes the bytes as each kind of message; returns how many of them accept the bytes. */
int decodeAsAll(const QByteArray &bytes)
{
    return static_cast<int>(RecordsCodec::decodeRecord(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeRecords(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeOpen(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeOpenReply(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeNotice(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodePull(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodePullReply(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeFetch(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeGrant(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeGrantReply(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeCrash(bytes).has_value())
           + static_cast<int>(RecordsCodec::decodeConfiguration(bytes).has_value());
}

} // namespace

Test(damaged_messages, end_no_records_node)
{
    MutatedBytes mutation(1);
    const std::vector<QByteArray> all = messages();
    int accepted = 0;
    for (std::size_t number = 0; number < all.size(); ++number) {
        cr_assert_geq(decodeAsAll(all[number]), 1);
        for (int round = 0; round < roundsPerMessage; ++round)
            accepted += decodeAsAll(mutation.damaged(all[number], all[(number + 1) % all.size()]));
    }
    cr_assert_gt(accepted, 0, "the damage is so large that nothing is read");
}

Test(damaged_messages, make_no_view_of_the_records_vms)
{
    RecordsView view;
    view.number = 4;
    RecordsMember member;
    member.vm.incarnation = {QStringLiteral("r1"), QStringLiteral("zone"), 7};
    view.members = {member, member};
    const QByteArray document = view.toDocument();
    MutatedBytes mutation(2);
    for (int round = 0; round < roundsPerMessage; ++round) {
        const auto read = RecordsView::fromDocument(mutation.damaged(document, document));
        if (read)
            cr_assert_geq(read->absenceQuorum(), 1);
    }
}
