#include "lacewingmux_config/service/ConfigurationService.h"
#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_config/keys/KeyRegister.h"
#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_config/service/CallerAuthority.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"

#include <QTemporaryDir>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

using Members = std::map<QString, std::vector<VmDescriptor>>;

/** One VM with its service. */
struct Vm
{
    VmIncarnation incarnation;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<InMemoryPlatformStore> store;
    std::unique_ptr<ConfigurationService> service;
    std::vector<std::uint64_t> seenRevisions;
    std::vector<QString> withdrawn;
};

/** A fleet over one store, in virtual time. */
struct Fleet
{
    ManualTimerService timers;
    IgnoringMetricsRecorder metrics;
    std::shared_ptr<InMemoryStoreServer> server = std::make_shared<InMemoryStoreServer>(timers);
    InMemoryPeerNetwork network{timers};
    InMemoryPlatformStore operatorStore{server, QStringLiteral("operator")};
    ConfigurationRegister configurations{operatorStore};
    KeyRegister keys{operatorStore};
    Members members;
    std::vector<std::unique_ptr<Vm>> vms;
    std::uint64_t incarnations = 0;

    Fleet(int zones, int vmsPerZone)
    {
        this->server->setDelay(20ms);
        this->network.setDeliveryDelay(2ms);
        for (int zone = 0; zone < zones; ++zone) {
            for (int vm = 0; vm < vmsPerZone; ++vm)
                this->add(QStringLiteral("z%1").arg(zone),
                          QStringLiteral("z%1-%2").arg(zone).arg(vm));
        }
        for (const auto &vm : this->vms)
            this->begin(*vm, QString());
        this->timers.advance(3s);
    }

    void add(const QString &zone, const QString &name)
    {
        auto vm = std::make_unique<Vm>();
        vm->incarnation = {name, zone, ++this->incarnations};
        VmDescriptor descriptor;
        descriptor.incarnation = vm->incarnation;
        this->members[zone].push_back(descriptor);
        this->vms.push_back(std::move(vm));
    }

    void begin(Vm &vm, const QString &dataFolder)
    {
        vm.hub = this->network.makeHub(vm.incarnation);
        vm.store = std::make_unique<InMemoryPlatformStore>(this->server, vm.incarnation.vm);
        ConfigurationHooks hooks;
        hooks.peers = [this, &vm] {
            return ConfigurationPeers::fromViews(vm.incarnation, this->members);
        };
        hooks.onConfiguration = [&vm](const auto &configuration) {
            vm.seenRevisions.push_back(configuration->revision);
        };
        hooks.onKeysWithdrawn = [&vm](const auto &ids) { vm.withdrawn = ids; };
        vm.service = std::make_unique<ConfigurationService>(*vm.store, *vm.hub, this->timers,
                                                            this->metrics, hooks, dataFolder,
                                                            vm.incarnation.incarnation);
        std::vector<VmDescriptor> all;
        for (const auto &[zone, descriptors] : this->members)
            all.insert(all.end(), descriptors.begin(), descriptors.end());
        vm.hub->setPeers(all);
        vm.service->start();
    }

    /** Stops a VM and starts it anew as the only change of its zone's view. */
    void restart(Vm &vm, const QString &dataFolder)
    {
        vm.service.reset();
        vm.hub.reset();
        vm.store.reset();
        vm.seenRevisions.clear();
        for (VmDescriptor &descriptor : this->members[vm.incarnation.zone]) {
            if (descriptor.incarnation == vm.incarnation)
                descriptor.incarnation.incarnation = ++this->incarnations;
        }
        vm.incarnation.incarnation = this->incarnations;
        for (const auto &other : this->vms) {
            if (other->service)
                other->service->viewsChanged();
        }
        this->begin(vm, dataFolder);
    }

    void apply(std::uint64_t expectedRevision, int serveWithoutStoreSeconds = 0)
    {
        Configuration configuration;
        configuration.plans = {{QStringLiteral("accra"), QStringLiteral("large")}};
        Allowance allowance;
        allowance.plan = QStringLiteral("large");
        allowance.programTurnLimit = 1;
        allowance.serveWithoutStore = std::chrono::seconds(serveWithoutStoreSeconds);
        configuration.allowances = {allowance};
        this->configurations.apply(
                expectedRevision, ConfigurationDocument::toJson(configuration),
                QStringLiteral("ama"), this->timers.wallNow(),
                [](const auto &result) { cr_assert_not(result.error.has_value()); });
    }

    bool allAt(std::uint64_t revision) const
    {
        return std::all_of(this->vms.begin(), this->vms.end(), [revision](const auto &vm) {
            return vm->service->configuration()->revision == revision;
        });
    }

    Vm &vm(const QString &name)
    {
        return **std::find_if(this->vms.begin(), this->vms.end(), [&name](const auto &candidate) {
            return candidate->incarnation.vm == name;
        });
    }

    void setZoneCutFromStore(const QString &zone, bool cut)
    {
        for (const auto &vm : this->vms) {
            if (vm->incarnation.zone == zone)
                this->server->setCut(vm->incarnation.vm, cut);
        }
    }

    void setZoneCutFromPeers(const QString &zone)
    {
        QStringList inside;
        QStringList outside;
        for (const auto &vm : this->vms)
            (vm->incarnation.zone == zone ? inside : outside).append(vm->incarnation.vm);
        this->network.cutGroups(inside, outside);
    }

    KeyText issueKey()
    {
        KeyText issued;
        this->keys.issue(QStringLiteral("accra"), this->timers.wallNow(),
                         [&issued](const auto &, const KeyText &text) { issued = text; });
        this->timers.advance(3s);
        return issued;
    }
};

/** Returns the kind of the refusal, or nothing when the caller is accepted. */
std::optional<ErrorKind> refusal(const Fleet &fleet, const Vm &vm, const KeyText &key)
{
    const CallerAuthority authority(vm.service->configuration(), vm.service->keyRing(),
                                    vm.service->storeContact());
    try {
        static_cast<void>(authority.authenticate(key.toText(), fleet.timers.now()));
        return std::nullopt;
    } catch (const LacewingmuxError &error) {
        return error.kind();
    }
}

} // namespace

Test(ConfigurationService, isInForceInTwentyFourZonesWithinNineSeconds)
{
    Fleet fleet(24, 5);
    std::chrono::milliseconds slowest{0};
    for (std::uint64_t revision = 1; revision <= 5; ++revision) {
        fleet.apply(revision - 1);
        std::chrono::milliseconds taken{0};
        while (!fleet.allAt(revision) && taken <= 9s) {
            fleet.timers.advance(50ms);
            taken += 50ms;
        }
        slowest = std::max(slowest, taken);
    }
    cr_log_info("slowest of five revisions: %lld ms", static_cast<long long>(slowest.count()));
    cr_assert_leq(slowest.count(), 9000);
    fleet.timers.advance(15s);
    for (const ZoneInForce &zone : fleet.vms.front()->service->zonesInForce()) {
        cr_assert_eq(zone.configuration, 5U, "%s", qPrintable(zone.zone));
        cr_assert_eq(zone.reportedVms, 5U);
    }
}

Test(ConfigurationService, onlyTheWatchersOfAZoneKeepAskingTheStore)
{
    Fleet fleet(2, 5);
    const auto callsOf = [&fleet](const auto &vm) {
        return fleet.server->calls(vm->incarnation.vm);
    };
    std::vector<std::int64_t> before;
    for (const auto &vm : fleet.vms)
        before.push_back(callsOf(vm));
    fleet.timers.advance(60s);
    int asking = 0;
    for (std::size_t index = 0; index < fleet.vms.size(); ++index) {
        const std::int64_t made = callsOf(fleet.vms[index]) - before[index];
        asking += made > 0 ? 1 : 0;
        cr_assert_leq(made, 64);
    }
    cr_assert_eq(asking, 4);
}

Test(ConfigurationService, aStalePeerOrStoreNeverTakesARevisionBack)
{
    Fleet fleet(2, 3);
    fleet.apply(0);
    fleet.timers.advance(5s);
    fleet.setZoneCutFromStore(QStringLiteral("z1"), true);
    fleet.setZoneCutFromPeers(QStringLiteral("z1"));
    fleet.apply(1);
    fleet.timers.advance(20s);
    cr_assert_eq(fleet.vm(QStringLiteral("z0-0")).service->configuration()->revision, 2U);
    cr_assert_eq(fleet.vm(QStringLiteral("z1-0")).service->configuration()->revision, 1U);
    // The peers meet again while the store, put back from an old copy, offers revision 1.
    const auto old = RevisionedRecord().next({}, QStringLiteral("old"), {}, {});
    fleet.server->put(ConfigurationRegister::storeKey, old.serialize());
    fleet.network.healAll();
    fleet.setZoneCutFromStore(QStringLiteral("z1"), false);
    fleet.timers.advance(20s);
    cr_assert(fleet.allAt(2));
    for (const auto &vm : fleet.vms) {
        cr_assert(std::is_sorted(vm->seenRevisions.begin(), vm->seenRevisions.end()));
        cr_assert_eq(vm->seenRevisions.back(), 2U);
    }
}

Test(ConfigurationService, aZoneCutFromTheStoreAloneLearnsFromItsPeers)
{
    Fleet fleet(3, 2);
    fleet.setZoneCutFromStore(QStringLiteral("z1"), true);
    fleet.apply(0);
    fleet.timers.advance(9s);
    cr_assert(fleet.allAt(1));
    cr_assert_leq(fleet.vm(QStringLiteral("z1-0")).service->storeContact()->age(fleet.timers.now()),
                  9s);
}

Test(ConfigurationService, aVmThatStartsDuringAnOutageAsksItsPeersOrItsDisk)
{
    QTemporaryDir folder;
    Fleet fleet(1, 2);
    Vm &first = fleet.vm(QStringLiteral("z0-0"));
    Vm &second = fleet.vm(QStringLiteral("z0-1"));
    fleet.restart(first, folder.path());
    fleet.apply(0);
    fleet.timers.advance(5s);
    fleet.server->setDown(true);
    fleet.restart(second, QString());
    fleet.timers.advance(5s);
    cr_assert_eq(second.service->configuration()->revision, 1U, "from its peer");
    fleet.network.cut(first.incarnation.vm, second.incarnation.vm);
    fleet.restart(first, folder.path());
    cr_assert_eq(first.service->configuration()->revision, 1U, "from its disk");
    fleet.restart(second, QString());
    fleet.timers.advance(5s);
    cr_assert_eq(second.service->configuration()->revision, 0U, "it knows of none");
    fleet.server->setDown(false);
    fleet.timers.advance(9s);
    cr_assert(fleet.allAt(1));
}

Test(ConfigurationService, aWithdrawnKeyEndsAtEveryVm)
{
    Fleet fleet(3, 3);
    fleet.apply(0);
    const KeyText key = fleet.issueKey();
    for (const auto &vm : fleet.vms)
        cr_assert_not(refusal(fleet, *vm, key).has_value());
    fleet.server->loseWriteReplies(1);
    fleet.keys.withdraw(key.keyId, fleet.timers.wallNow(),
                        [](const auto &error) { cr_assert_not(error.has_value()); });
    fleet.timers.advance(5s);
    for (const auto &vm : fleet.vms) {
        cr_assert(refusal(fleet, *vm, key) == ErrorKind::KeyWithdrawn);
        cr_assert(vm->withdrawn == std::vector<QString>{key.keyId});
    }
}

Test(ConfigurationService, aCutOffVmServesOnOnlyAsLongAsThePlanSays)
{
    Fleet fleet(2, 2);
    fleet.apply(0, 30);
    const KeyText key = fleet.issueKey();
    const Vm &inside = fleet.vm(QStringLiteral("z1-0"));
    const Vm &outside = fleet.vm(QStringLiteral("z0-0"));
    fleet.setZoneCutFromStore(QStringLiteral("z1"), true);
    fleet.timers.advance(60s);
    cr_assert_not(refusal(fleet, inside, key).has_value(), "its peers are in touch");
    fleet.setZoneCutFromPeers(QStringLiteral("z1"));
    fleet.timers.advance(20s);
    cr_assert_not(refusal(fleet, inside, key).has_value(), "within the bound");
    fleet.timers.advance(20s);
    cr_assert(refusal(fleet, inside, key) == ErrorKind::StoreUnavailable);
    cr_assert_not(refusal(fleet, outside, key).has_value());
    fleet.network.healAll();
    fleet.timers.advance(5s);
    cr_assert_not(refusal(fleet, inside, key).has_value());
    fleet.apply(1, 0);
    fleet.timers.advance(5s);
    fleet.setZoneCutFromPeers(QStringLiteral("z1"));
    fleet.timers.advance(3600s);
    cr_assert_not(refusal(fleet, inside, key).has_value(), "no bound: it serves on");
}

Test(ConfigurationService, namesTheZoneWhereARevisionIsNotInForce)
{
    Fleet fleet(3, 2);
    fleet.apply(0);
    fleet.timers.advance(15s);
    fleet.setZoneCutFromStore(QStringLiteral("z2"), true);
    fleet.setZoneCutFromPeers(QStringLiteral("z2"));
    fleet.apply(1);
    fleet.timers.advance(15s);
    for (const ZoneInForce &zone : fleet.vm(QStringLiteral("z0-0")).service->zonesInForce())
        cr_assert_eq(zone.configuration, zone.zone == QLatin1String("z2") ? 1U : 2U);
}
