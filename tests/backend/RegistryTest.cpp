#include "engine/library/EngineStandin.h"
#include "lacewingmux_backend/messages/BackendMessages.h"
#include "lacewingmux_backend/replicas/ReplicaRegistry.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/ZoneView.h"
#include "loops/EventLoop.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

VmIncarnation vm(int number)
{
    return {QStringLiteral("vm%1").arg(number), QStringLiteral("zone-a"), 1};
}

QByteArray recordJson(std::uint16_t port)
{
    return "{\"url\":\"http://127.0.0.1:" + QByteArray::number(port)
           + R"(","route":"chat","kind":"engine","maxSequences":16,"vm":"gpu1"})";
}

struct Fixture
{
    EventLoop loop;
    std::shared_ptr<InMemoryStoreServer> server =
            std::make_shared<InMemoryStoreServer>(loop.timers);
    InMemoryPlatformStore store{server, QStringLiteral("registry")};
    std::shared_ptr<const ReplicaSet> set;
    ReplicaRegistry registry{{.timers = loop.timers,
                              .store = store,
                              .self = vm(1),
                              .publish =
                                      [this](std::shared_ptr<const ReplicaSet> replicaSet) {
                                          this->set = std::move(replicaSet);
                                      }},
                             {.minPollInterval = 20ms}};

    const ReplicaSnapshot *replica() const
    {
        return this->set ? this->set->find(QStringLiteral("e0")) : nullptr;
    }
};

const QByteArray replicaKey = QByteArrayLiteral("lacewingmux/backends/zone-a/e0");
const QByteArray vmKey = QByteArrayLiteral("platform/vms/gpu1");

} // namespace

Test(ReplicaRegistry, publishesReplicasWithTheirLoad)
{
    Fixture f;
    standin::EngineStandin engine;
    f.server->put(replicaKey, recordJson(engine.start(0)));
    f.server->put("lacewingmux/backends/zone-b/e9", recordJson(1));
    f.registry.start();
    f.loop.waitUntil([&f] { return f.replica() && f.replica()->load; }, "the load");
    cr_assert_eq(f.set->replicas().size(), 1);
    cr_assert_not(f.replica()->load->load.instance.isEmpty());
    cr_assert_not(f.replica()->leaving);
}

Test(ReplicaRegistry, aReplicaOnALeavingOrGoneVmIsPublishedAsLeaving)
{
    for (const char *state : {R"({"state":"leaving"})", R"({"state":"gone"})", ""}) {
        Fixture f;
        f.server->put(vmKey, R"({"vm":"gpu1","zone":"zone-a","state":"live"})");
        f.server->put(replicaKey, recordJson(1));
        f.registry.start();
        f.loop.waitUntil([&f] { return f.replica() != nullptr; }, "the replica");
        cr_assert_not(f.replica()->leaving);
        if (*state)
            f.server->put(vmKey, state);
        else
            f.server->remove(vmKey);
        f.loop.waitUntil([&f] { return f.replica()->leaving; }, "the change");
    }
}

Test(ReplicaRegistry, aLeavingReplicaIsNeverPublishedAsServingAtTheStart)
{
    Fixture f;
    f.server->put(vmKey, R"({"state":"leaving"})");
    f.server->put(replicaKey, recordJson(1));
    f.registry.start();
    f.loop.waitUntil([&f] { return f.set != nullptr; }, "the first set");
    cr_assert(f.replica()->leaving);
}

Test(ReplicaRegistry, keepsItsReplicasWhileTheStoreIsUnavailable)
{
    Fixture f;
    f.server->setDown(true);
    f.server->put(replicaKey, recordJson(1));
    f.registry.start();
    f.loop.runFor(50ms);
    cr_assert_null(f.set.get());
    f.server->setDown(false);
    f.loop.waitUntil([&f] { return f.replica() != nullptr; }, "the replica");
    f.server->setDown(true);
    f.loop.runFor(100ms);
    cr_assert_not_null(f.registry.current()->find(QStringLiteral("e0")));
}

Test(ReplicaRegistry, anInvalidRecordKeepsThePreviousOneInEffect)
{
    Fixture f;
    f.server->put(replicaKey, recordJson(7));
    f.registry.start();
    f.loop.waitUntil([&f] { return f.replica() != nullptr; }, "the replica");
    f.server->put(replicaKey, R"({"url":"nowhere"})");
    f.server->put("lacewingmux/backends/zone-a/e1", recordJson(8));
    f.loop.waitUntil([&f] { return f.set->replicas().size() == 2; }, "the other replica");
    cr_assert_eq(f.replica()->record.url.port(), 7);
    f.server->remove(replicaKey);
    f.loop.waitUntil([&f] { return f.set->replicas().size() == 1; }, "the removal");
}

Test(ReplicaRegistry, aVmPollsOnlyItsShareOfTheReplicasWhileItReceivesReportsOnTheOthers)
{
    EventLoop loop;
    const auto server = std::make_shared<InMemoryStoreServer>(loop.timers);
    InMemoryPlatformStore store(server, QStringLiteral("registry"));
    InMemoryPeerNetwork network(loop.timers);
    std::vector<std::unique_ptr<standin::EngineStandin>> engines;
    std::vector<ReplicaLoadEntry> reports;
    for (int number = 0; number < 10; ++number) {
        const QString name = QStringLiteral("e%1").arg(number);
        engines.push_back(std::make_unique<standin::EngineStandin>());
        server->put("lacewingmux/backends/zone-a/" + name.toUtf8(),
                    recordJson(engines.back()->start(0)));
        reports.push_back({name, {1, 0, 0, 0, {}}, 0ms});
    }
    std::vector<VmDescriptor> members(2);
    members[0].incarnation = vm(1);
    members[1].incarnation = vm(2);
    const auto hub = network.makeHub(vm(1));
    const auto peer = network.makeHub(vm(2));
    ReplicaRegistry registry({.timers = loop.timers,
                              .store = store,
                              .hub = hub.get(),
                              .self = vm(1),
                              .publish = [](const auto &) {}},
                             {.minPollInterval = 500ms});
    hub->setPeers(members);
    registry.adoptView(std::make_shared<ZoneView>(QStringLiteral("zone-a"), 1, members));
    registry.start();

    const auto countPolledAtLeast = [&engines](int reads) {
        return std::count_if(engines.begin(), engines.end(),
                             [reads](const auto &engine) { return engine->loadReads() >= reads; });
    };
    loop.waitUntil([&] { return countPolledAtLeast(1) == 10; }, "the first polls of all replicas");
    PeerFrame frame;
    frame.kind = FrameKind::ReplicaReport;
    frame.payload = encodeReplicaReport(reports);
    loop.waitUntil(
            [&] {
                peer->send(vm(1), frame);
                return countPolledAtLeast(4) > 0;
            },
            "repeated polls of this VM's own share");
    cr_assert_lt(countPolledAtLeast(2), 10);
    loop.waitUntil([&] { return countPolledAtLeast(5) == 10; },
                   "polls of all replicas after the reports stopped");
}

Test(ReplicaRecord, namesTheInvalidField)
{
    for (const char *json : {"no json", R"({"url":"x"})", R"({"url":"http://127.0.0.1:1"})",
                             R"({"url":"http://127.0.0.1:1","route":"r","kind":"car"})",
                             R"({"url":"http://127.0.0.1:1","route":"r","kind":"engine",
                                 "maxSequences":0})"}) {
        try {
            (void)ReplicaRecord::fromJson(QStringLiteral("z"), QStringLiteral("e0"), json);
            cr_assert_fail("accepted %s", json);
        } catch (const LacewingmuxError &error) {
            cr_assert(error.kind() == ErrorKind::ConfigurationInvalid);
            cr_assert(error.message().contains(QStringLiteral("e0")));
        }
    }
}
