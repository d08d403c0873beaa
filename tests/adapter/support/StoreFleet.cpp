#include "support/StoreFleet.h"

#include "platform/ReplicaEntry.h"
#include "platform/StoreClient.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_relay/messages/RelayCodec.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{5};
constexpr milliseconds contactInterval{300};
constexpr int zoneCount = 3;
const QByteArray retirementPrefix = "op/retire/";
const QByteArray replicaEntry = R"({"service":"s","address":"10.0.0.1:80","zone":"zone-0",
 "slots":4,"state":"ready","born":1700000000123})";

VmDescriptor descriptorOf(const VmIncarnation &incarnation)
{
    VmDescriptor descriptor;
    descriptor.incarnation = incarnation;
    descriptor.address = incarnation.vm;
    descriptor.trafficPort = 1;
    return descriptor;
}

VmIncarnation numbered(const char *name, int number)
{
    return {QStringLiteral("%1-%2").arg(QLatin1String(name)).arg(number),
            QStringLiteral("zone-%1").arg(number % zoneCount), 1};
}

} // namespace

const QByteArray StoreFleet::replicaPrefix = "servers/";
const QByteArray StoreFleet::configurationKey = "op/config";

/** The parts of a records VM that access the store, connected as in RecordsNode. */
struct StoreFleet::RecordsVm
{
    void updateSource()
    {
        this->store->setProbePace(this->duty.probePace());
        const bool usedStore = std::exchange(this->usesStore, this->duty.usesStore());
        if (!usedStore && this->usesStore && this->duty.relayState == RelayState::StoreLost)
            this->store->assumeUnreachable();
        this->store->setSource(this->usesStore ? RelayedStore::Source::Store
                                               : RelayedStore::Source::Relays);
        if (!this->duty.hasSubscribers)
            this->replicas.reset();
        else if (!this->replicas)
            this->replicas = this->store->watchPrefix(replicaPrefix, 0, [](const StoreRecord &) {});
    }

    void sendContents(const VmIncarnation &subscriber)
    {
        if (!this->replicas || !this->store->isComplete())
            return;
        std::vector<QByteArray> updates;
        for (const RelayUpdate &update : this->store->contents())
            updates.push_back(RelayCodec::encodeUpdate(update));
        this->reportContact();
        this->server->sendContents(subscriber, updates);
    }

    void reportContact()
    {
        const auto contact = this->store ? this->store->lastContact() : std::nullopt;
        if (contact)
            this->server->setContact(this->storeReachable, *contact);
    }

    VmIncarnation incarnation;
    QByteArray configuration;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<RelayServer> server;
    std::unique_ptr<RelayClient> relays;
    std::unique_ptr<RelayedStore> store;
    std::unique_ptr<PlatformStore::Watch> configurationWatch;
    std::unique_ptr<PlatformStore::Watch> retirement;
    std::unique_ptr<PlatformStore::Watch> view;
    std::unique_ptr<PlatformStore::Watch> replicas;
    RelayDuty duty;
    bool usesStore = true;
    bool storeReachable = true;
    TimerSubscription contactTimer;
};

StoreFleet::StoreFleet(int frontCount, int recordsVmCount)
    : store(timers)
    , network(timers)
{
    this->network.setDeliveryDelay(milliseconds(1));
    this->network.setDetectionDelay(milliseconds(900));
    this->store.put(configurationKey, "first");
    this->store.put(recordsViewKey, "view");
    this->store.put(replicaPrefix + "1", replicaEntry);
    this->store.put(replicaPrefix + "2", replicaEntry);
    for (int number = 0; number < recordsVmCount; ++number)
        this->relayCandidates.push_back(numbered("records", number));
    for (const VmIncarnation &candidate : this->relayCandidates) {
        this->recordsVms.push_back(std::make_unique<RecordsVm>());
        this->recordsVms.back()->incarnation = candidate;
        this->startRecordsVm(*this->recordsVms.back());
    }
    for (int number = 0; number < frontCount; ++number) {
        this->fronts.push_back(std::make_unique<Front>());
        this->fronts.back()->incarnation = numbered("front", number);
        this->startFront(*this->fronts.back());
    }
    this->run(milliseconds(10000));
    this->store.resetCounts();
}

StoreFleet::~StoreFleet()
{
    this->fronts.clear(); // before the network
}

void StoreFleet::startRecordsVm(RecordsVm &vm)
{
    vm.hub = this->makeHub(vm.incarnation);
    this->connectRelays(vm);
    vm.store = std::make_unique<RelayedStore>(
            this->adapterFor(vm.incarnation.vm)
                    .createStore(this->timers, this->metrics,
                                 [&vm](bool reachable) {
                                     vm.storeReachable = reachable;
                                     vm.reportContact();
                                     vm.relays->setStoreReachable(reachable);
                                 }),
            this->timers, RelayedStore::Source::Store);
    vm.store->setUpdateHook([&vm](const RelayUpdate &update) {
        vm.server->broadcast(RelayCodec::encodeUpdate(update));
    });
    vm.configurationWatch = vm.store->watchValue(
            configurationKey, [&vm](const QByteArray &document) { vm.configuration = document; });
    vm.retirement = vm.store->watchPrefix(retirementPrefix, 0, [](const StoreRecord &) {});
    vm.view = vm.store->watchPrefix(recordsViewKey, 0, [](const StoreRecord &) {});
    vm.contactTimer = this->timers.every(contactInterval, [&vm] { vm.reportContact(); });
    vm.relays->setCandidates(this->relayCandidates);
}

void StoreFleet::connectRelays(RecordsVm &vm)
{
    vm.server = std::make_unique<RelayServer>(
            *vm.hub, this->timers,
            RelayServer::Hooks{
                    [&vm](const VmIncarnation &subscriber) { vm.sendContents(subscriber); },
                    [&vm](bool demanded) {
                        vm.duty.hasSubscribers = demanded;
                        vm.updateSource();
                    }});
    vm.relays = std::make_unique<RelayClient>(
            *vm.hub, this->timers,
            RelayClient::Hooks{[&vm](const RelayUpdate &update) { vm.store->applyUpdate(update); },
                               [&vm](const RelayContact &contact) {
                                   vm.duty.relayState = contact.state;
                                   vm.updateSource();
                               },
                               [&vm](bool preferred) {
                                   vm.duty.isPreferredRelay = preferred;
                                   vm.updateSource();
                               }});
}

void StoreFleet::startFront(Front &front)
{
    front.hub = this->makeHub(front.incarnation);
    StoreFollower::Hooks hooks;
    hooks.configuration = [&front](const QByteArray &document) { front.configuration = document; };
    hooks.view = [](const QByteArray &) {};
    hooks.replicas = [&front](const std::vector<ReplicaInstance> &instances) {
        front.replicas.clear();
        for (const ReplicaInstance &instance : instances)
            front.replicas.insert(instance.id);
    };
    front.follower = std::make_unique<StoreFollower>(
            this->timers, this->metrics, this->adapterFor(front.incarnation.vm), std::move(hooks));
    front.relays = std::make_unique<RelayClient>(
            *front.hub, this->timers,
            RelayClient::Hooks{
                    [&front](const RelayUpdate &update) { front.follower->applyUpdate(update); },
                    [&front](const RelayContact &contact) {
                        front.follower->handleRelayContact(contact);
                    },
                    [](bool) {}});
    front.relays->setCandidates(this->relayCandidates);
}

std::unique_ptr<PeerHub> StoreFleet::makeHub(const VmIncarnation &incarnation)
{
    auto hub = this->network.makeHub(incarnation);
    std::vector<VmDescriptor> peers;
    for (const VmIncarnation &candidate : this->relayCandidates) {
        if (candidate != incarnation)
            peers.push_back(descriptorOf(candidate));
    }
    hub->setPeers(peers);
    return hub;
}

PlatformAdapter StoreFleet::adapterFor(const QString &vm)
{
    PlatformAdapter adapter;
    adapter.createStore = [this, vm](TimerService &timerService, MetricsRecorder &recorder,
                                     std::function<void(bool)> contactChanged) {
        PlatformStoreSettings settings;
        settings.endpoints = {QUrl(QStringLiteral("http://127.0.0.1:1"))};
        settings.clientName = QStringLiteral("lacewingmux/") + vm;
        settings.callTimeout = milliseconds(1500);
        settings.jitterSeed = stableHash(vm.toUtf8());
        settings.contactChanged = std::move(contactChanged);
        settings.watchPaces[replicaPrefix] = {milliseconds(2500), milliseconds(900)};
        settings.watchPaces[configurationKey] = {milliseconds(2500), milliseconds(100)};
        settings.watchPaces[recordsViewKey] = {milliseconds(20000), milliseconds(200)};
        settings.watchPaces[retirementPrefix] = {milliseconds(4000), milliseconds(200)};
        settings.startWatchCall = this->store.starterFor(vm);
        return std::make_unique<StoreClient>(timerService, recorder, std::move(settings));
    };
    adapter.configurationKey = configurationKey;
    adapter.replicaPrefix = replicaPrefix;
    adapter.readReplica = readReplicaEntry;
    return adapter;
}

void StoreFleet::run(milliseconds duration)
{
    this->timers.advance(duration);
}

milliseconds StoreFleet::runUntil(const std::function<bool()> &condition)
{
    const milliseconds limit{10000};
    milliseconds passed{0};
    for (; !condition(); passed += step) {
        cr_assert_lt(passed / milliseconds(1), limit / milliseconds(1));
        this->timers.advance(step);
    }
    return passed;
}

milliseconds StoreFleet::timeToConfigure(const QByteArray &configuration)
{
    this->store.put(configurationKey, configuration);
    return this->runUntil([this, &configuration] {
        return std::all_of(this->fronts.begin(), this->fronts.end(), [&](const auto &front) {
            return front->configuration == configuration;
        });
    });
}

QStringList StoreFleet::preferredRelays(const QString &zone) const
{
    QStringList names;
    for (const VmIncarnation &relay : RelayClient::ranked(this->relayCandidates, zone))
        names.push_back(relay.vm);
    return names;
}

QByteArray StoreFleet::configurationOf(const QString &recordsVm) const
{
    const auto found =
            std::find_if(this->recordsVms.begin(), this->recordsVms.end(),
                         [&recordsVm](const auto &vm) { return vm->incarnation.vm == recordsVm; });
    cr_assert(found != this->recordsVms.end());
    return (*found)->configuration;
}

void StoreFleet::setLinksCut(const Front &front, bool cut)
{
    for (const VmIncarnation &candidate : this->relayCandidates) {
        if (cut)
            this->network.cut(front.incarnation.vm, candidate.vm);
        else
            this->network.heal(front.incarnation.vm, candidate.vm);
    }
}

int StoreFleet::frontCalls()
{
    int calls = 0;
    for (const auto &front : this->fronts)
        calls += this->store.count(front->incarnation.vm).all();
    return calls;
}

int StoreFleet::recordsVmCalls()
{
    int calls = 0;
    for (const auto &vm : this->recordsVms)
        calls += this->store.count(vm->incarnation.vm).all();
    return calls;
}

} // namespace lacewingmux
