#include "http/ForwardFixture.h"
#include "http/RecordingOwner.h"
#include "lacewingmux_http/forward/RequestHome.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <list>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned firstSeed = 1;
constexpr unsigned lastSeed = 300;
constexpr int steps = 120;

/** Three VMs of zone "a" that record together, one front in "b", and random trouble. */
class Schedule
{
public:
    explicit Schedule(unsigned seed)
        : random(seed)
        , frontOwner(timers, records, seed, [](const QString &) { return false; })
    {
        this->network.setDeliveryDelay(2ms);
        this->network.setReconnectDelay(5ms);
        for (const auto *name : {"a1", "a2", "a3"})
            this->add(QLatin1String(name), seed);
        this->front = std::make_unique<ForwardingVm>(
                this->network, this->timers,
                incarnationOf(QStringLiteral("b1"), QStringLiteral("b")), this->frontOwner);
        this->adoptViews();
        this->timers.advance(50ms);
    }

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            this->timers.advance(std::chrono::milliseconds(this->below(15)));
            switch (this->below(10)) {
            case 0:
                this->network.breakLink(QStringLiteral("b1"), this->someVm());
                break;
            case 1:
                this->network.cut(QStringLiteral("b1"), this->someVm());
                break;
            case 2:
                this->network.healAll();
                break;
            case 3:
                if (this->below(8) == 0)
                    this->killOne();
                break;
            case 4:
                this->adoptViews();
                break;
            default:
                this->ask();
                break;
            }
        }
        this->network.healAll();
        this->adoptViews();
        this->timers.advance(200s);
    }

    void check(unsigned seed) const
    {
        for (const Asked &asked : this->requests) {
            const QString name =
                    asked.request.programId + u'#' + QString::number(asked.request.callNumber);
            const QByteArray right = rightAnswer(name);
            cr_assert_eq(asked.seen.outcomes(), 1, "seed %u: outcomes", seed);
            cr_assert_leq(asked.seen.begins, 1, "seed %u: two beginnings", seed);
            cr_assert(right.startsWith(asked.seen.body), "seed %u: foreign bytes", seed);
            if (asked.seen.ends == 1) {
                cr_assert(asked.seen.body == right, "seed %u: not whole", seed);
                cr_assert(asked.seen.headers.at(0).value == name.toUtf8(), "seed %u", seed);
            } else if (asked.seen.error->executed() == Executed::No) {
                cr_assert_eq(asked.runsAtError, 0, "seed %u: a false promise", seed);
            }
        }
        for (const auto &[name, record] : this->records)
            cr_assert_leq(record.runs, 1, "seed %u: two runs", seed);
    }

    [[nodiscard]] std::ptrdiff_t wholeAnswers() const
    {
        return std::count_if(this->requests.begin(), this->requests.end(),
                             [](const Asked &one) { return one.seen.ends == 1; });
    }

private:
    struct Vm
    {
        std::unique_ptr<RecordingOwner> owner;
        std::unique_ptr<ForwardingVm> forwarding;
    };
    struct Asked
    {
        OwnerRequest request;
        SeenAnswer seen;
        int runsAtError = 0; ///< of all that were asked under the same name until then
    };

    void add(const QString &name, unsigned seed)
    {
        const VmIncarnation self = incarnationOf(name, QStringLiteral("a"));
        Vm vm;
        vm.owner = std::make_unique<RecordingOwner>(
                this->timers, this->records, seed, [this, self](const QString &requestName) {
                    OwnerRequest request;
                    request.programId = requestName.section(u'#', 0, 0);
                    return this->views->ownerOf(*homeOf(request, {})) == self;
                });
        vm.forwarding =
                std::make_unique<ForwardingVm>(this->network, this->timers, self, *vm.owner);
        this->vms.push_back(std::move(vm));
    }

    /** The VMs of the zone see a new view at once, the front only when it is told. */
    void killOne()
    {
        if (this->vms.size() < 2)
            return;
        const auto victim = this->vms.begin() + this->below(static_cast<int>(this->vms.size()));
        victim->forwarding.reset();
        victim->owner.reset();
        this->vms.erase(victim);
        this->makeViews();
    }

    void makeViews()
    {
        std::vector<VmIncarnation> members{
                incarnationOf(QStringLiteral("b1"), QStringLiteral("b"))};
        for (const Vm &vm : this->vms)
            members.push_back(vm.forwarding->incarnation);
        this->views = viewsOf(members, ++this->epoch);
        for (const Vm &vm : this->vms)
            vm.owner->loseOwnership();
    }

    void adoptViews()
    {
        if (this->views == nullptr)
            this->makeViews();
        std::vector<VmDescriptor> peers;
        for (const Vm &vm : this->vms)
            peers.push_back({vm.forwarding->incarnation, {}, 0, 0, false});
        this->front->hub->setPeers(peers);
        this->front->forwarder.adoptViews(this->views);
    }

    void ask()
    {
        Asked &asked = this->requests.emplace_back();
        asked.request = callOf(this->below(20), static_cast<std::uint32_t>(this->below(3) + 1),
                               this->below(2) == 0);
        ResponseSink sink = sinkInto(asked.seen);
        sink.fail = [this, &asked, seen = sink.fail](const LacewingmuxError &error) {
            asked.runsAtError = this->runsOf(asked.request.programId + u'#'
                                             + QString::number(asked.request.callNumber));
            seen(error);
        };
        this->front->forwarder.handle(asked.request, std::move(sink));
        this->front->sent.add(asked.request);
    }

    [[nodiscard]] int runsOf(const QString &name) const
    {
        const auto found = this->records.find(name);
        return found == this->records.end() ? 0 : found->second.runs;
    }

    [[nodiscard]] QString someVm()
    {
        return QStringLiteral("a%1").arg(this->below(3) + 1);
    }

    [[nodiscard]] int below(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
    }

    std::mt19937 random;
    ManualTimerService timers;
    InMemoryPeerNetwork network{timers};
    RequestRecords records;
    std::list<Asked> requests;
    std::shared_ptr<const FleetViews> views;
    std::uint64_t epoch = 0;
    RecordingOwner frontOwner;
    std::vector<Vm> vms;
    std::unique_ptr<ForwardingVm> front;
};

} // namespace

Test(ForwardSchedule, everyRequestGetsOneWholeAnswerOfItsOwnOrATruthfulError)
{
    std::ptrdiff_t whole = 0;
    for (unsigned seed = firstSeed; seed <= lastSeed; ++seed) {
        Schedule schedule(seed);
        schedule.run();
        schedule.check(seed);
        whole += schedule.wholeAnswers();
    }
    // A check that nothing ever passes through would prove nothing.
    cr_assert_gt(whole, 5000);
    cr_log_info("%td whole answers", whole);
}
