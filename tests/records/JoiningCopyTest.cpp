#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/messages/RecordsCodec.h"
#include "lacewingmux_records/server/RecordsSync.h"
#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

RecordsMember member(const char *name, MemberState state)
{
    RecordsMember created;
    created.vm.incarnation = {QLatin1String(name), QStringLiteral("zone"), 1};
    created.vm.address = QLatin1String(name);
    created.state = state;
    return created;
}

Record turnRecord(const QByteArray &key)
{
    Record record;
    record.key = key;
    record.expires = std::chrono::system_clock::now() + std::chrono::hours(1);
    return record;
}

/** A joining member that copies from one synced member, whose answers the test determines. */
struct CopyFromOneMember
{
    CopyFromOneMember()
        : network(this->timers)
        , joiner(this->network.makeHub(member("joiner", MemberState::Joining).vm.incarnation))
        , source(this->network.makeHub(member("source", MemberState::Synced).vm.incarnation))
        , sync(
                  *this->joiner, this->index, this->timers,
                  [this](const Record &record, std::function<void()> durable) {
                      this->index.add(record, ++this->lastSequence);
                      this->writes.push_back(
                              this->timers.after(this->writeTime, std::move(durable)));
                  },
                  [] { return std::vector<std::uint64_t>(); }, [](auto &&...) {}, [] {})
    {
        this->network.setDeliveryDelay(milliseconds(1));
        this->source->setHandler(FrameKind::PullKeys, [this](const auto &peer, const auto &frame) {
            this->answerPull(peer, frame);
        });
        this->source->setHandler(
                FrameKind::FetchRecords,
                [this](const auto &peer, const auto &frame) { this->answerFetch(peer, frame); });
        RecordsView view;
        view.number = 1;
        view.members = {member("joiner", MemberState::Joining),
                        member("source", MemberState::Synced)};
        this->joiner->setPeers(view.descriptors());
        this->sync.setView(view);
    }

    void answerPull(const VmIncarnation &peer, const PeerFrame &frame)
    {
        const auto message = RecordsCodec::decodePull(frame.payload);
        PullKeysReplyMessage reply;
        for (std::size_t position = message->after; position < this->listed.size(); ++position)
            reply.names.push_back(nameOf(turnRecord(this->listed[position])));
        reply.next = std::max<std::uint64_t>(message->after, this->listed.size());
        reply.atEnd = true;
        this->source->send(peer, {FrameKind::PullKeysReply, 1, frame.correlation,
                                  RecordsCodec::encodePullReply(reply)});
    }

    void answerFetch(const VmIncarnation &peer, const PeerFrame &frame)
    {
        const auto names = RecordsCodec::decodeFetch(frame.payload);
        std::vector<Record> records;
        for (const RecordName &name : *names) {
            const bool isAvailable =
                    std::find(this->available.begin(), this->available.end(), name.key)
                    != this->available.end();
            if (isAvailable && records.size() < this->recordsPerReply)
                records.push_back(turnRecord(name.key));
        }
        const std::uint64_t number = this->isOldBuild ? 0 : frame.correlation;
        this->answers.push_back(
                this->timers.after(this->answerDelay, [this, peer, number, records] {
                    this->source->send(peer, {FrameKind::FetchRecordsReply, 1, number,
                                              RecordsCodec::encodeRecords(records)});
                }));
    }

    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; ++passed) {
            this->timers.advance(milliseconds(1));
            this->timers.runPosted();
        }
    }

    void expectCopied(std::size_t count)
    {
        cr_assert_eq(this->index.size(), count, "%zu records copied", this->index.size());
        cr_assert_eq(this->sync.missingCount(), 0);
        cr_assert_eq(this->sync.completedSources(), 1);
    }

    ManualTimerService timers;
    InMemoryPeerNetwork network;
    std::unique_ptr<PeerHub> joiner;
    std::unique_ptr<PeerHub> source;
    RecordIndex index;
    std::uint64_t lastSequence = 0;
    RecordsSync sync;
    std::vector<QByteArray> listed;
    std::vector<QByteArray> available;
    std::size_t recordsPerReply = 1000;
    bool isOldBuild = false;
    milliseconds answerDelay{1};
    milliseconds writeTime{0};
    std::vector<TimerSubscription> answers;
    std::vector<TimerSubscription> writes;
};

TurnRequest shortTurn(const RecordsFleet &fleet, const QByteArray &request)
{
    TurnRequest turn;
    turn.program = "program-" + request;
    turn.request = request;
    turn.team = "team";
    turn.retention = std::chrono::seconds(60);
    turn.deadline = fleet.timers.now() + milliseconds(1500);
    return turn;
}

} // namespace

// Guards against a VM that stays joining for ever, as a record was dropped by the member that had
// named it, or its body can't be read there.
Test(joining_copy, ends_without_a_record_that_the_member_can_not_deliver)
{
    CopyFromOneMember test;
    test.listed = {"dropped-1", "t1", "dropped-2", "t2", "t3", "dropped-3"};
    test.available = {"t1", "t2", "t3"};
    test.run(milliseconds(2000));
    test.expectCopied(3);
}

Test(joining_copy, ends_when_replies_are_cut_for_their_size)
{
    CopyFromOneMember test;
    test.listed = {"dropped-1", "t1", "dropped-2", "t2", "t3", "dropped-3"};
    test.available = {"t1", "t2", "t3"};
    test.recordsPerReply = 1;
    test.run(milliseconds(2000));
    test.expectCopied(3);
}

Test(joining_copy, ends_when_replies_come_later_than_they_are_requested_again)
{
    CopyFromOneMember test;
    test.listed = {"dropped", "t1"};
    test.available = {"t1"};
    test.answerDelay = milliseconds(1300);
    test.run(milliseconds(8000));
    test.expectCopied(1);
}

Test(joining_copy, does_not_end_before_a_record_that_the_member_has)
{
    CopyFromOneMember test;
    test.listed = {"dropped", "t1"};
    test.available = {"t1"};
    test.answerDelay = milliseconds(700);
    test.run(milliseconds(600));
    cr_assert_eq(test.sync.completedSources(), 0);
    test.run(milliseconds(1000));
    test.expectCopied(1);
}

// Guards against copying that takes too long on a slow disk: the next records were requested only
// once the last ones were written.
Test(joining_copy, requests_the_next_records_while_the_last_ones_are_written)
{
    CopyFromOneMember test;
    constexpr int count = 800;
    for (int number = 0; number < count; ++number)
        test.listed.push_back("t" + QByteArray::number(number));
    test.available = test.listed;
    test.recordsPerReply = 80;
    test.writeTime = milliseconds(100);
    test.run(milliseconds(500));
    test.expectCopied(count);
}

// Guards against a member that waits for a record, and is therefore not up to date, although the
// record has come directly from an entry VM.
Test(joining_copy, waits_for_no_record_that_has_arrived_otherwise)
{
    CopyFromOneMember test;
    test.listed = {"t1"};
    test.available = {"t1"};
    test.answerDelay = milliseconds(700);
    test.run(milliseconds(20));
    const RecordName name = nameOf(turnRecord("t1"));
    cr_assert(test.sync.isAwaited(name));
    test.index.add(turnRecord("t1"), ++test.lastSequence);
    test.sync.recordStored(name);
    test.expectCopied(1);
}

// An old build names neither the request that it answers nor what it lacks.
Test(joining_copy, ends_beside_an_old_build_that_has_dropped_a_record)
{
    CopyFromOneMember test;
    test.isOldBuild = true;
    test.listed = {"dropped", "t1", "t2"};
    test.available = {"t1", "t2"};
    test.run(milliseconds(50));
    cr_assert_eq(test.sync.completedSources(), 0, "the dropped record is still missing");
    test.listed = {"t1", "t2"};
    test.run(milliseconds(4000));
    test.expectCopied(2);
}

Test(joining_copy, a_replaced_member_becomes_synced_while_records_expire)
{
    RecordsFleet fleet(3, 1);
    // More than are fetched at once, so that the last ones expire while the first are stored.
    constexpr int turns = 900;
    for (int number = 0; number < turns; ++number)
        fleet.entryVms[0].client->store(shortTurn(fleet, "t" + QByteArray::number(number)), "a",
                                        "b\n", 50, [](bool) {});
    fleet.run(milliseconds(79000));
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.wipe(QStringLiteral("r3"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.recordsVms.at(QStringLiteral("r3")).log->setSyncTime(milliseconds(3000));
    fleet.run(milliseconds(20000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3);
}
