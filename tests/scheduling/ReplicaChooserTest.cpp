#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"
#include "lacewingmux_scheduling/naive/LeastReportedLoadChooser.h"
#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const TimerService::SteadyTime start{1000s};

void addReplicas(ReplicaChooser &chooser, int count, int capacity = 8)
{
    for (int index = 0; index < count; ++index)
        chooser.setReplica({QString::number(index), capacity});
}

ChoiceRequest withPrefix(const QString &replica, std::int64_t tokens, double confidence = 1)
{
    ChoiceRequest request;
    request.prefixTokens = tokens;
    request.prefix = PrefixLocation{replica, tokens, confidence};
    return request;
}

} // namespace

Test(ReplicaChooser, choosesTheReplicaThatHoldsThePrefix)
{
    std::mt19937_64 random(1);
    ReplicaChooser chooser;
    addReplicas(chooser, 10);
    for (int attempt = 0; attempt < 50; ++attempt) {
        const auto choice = chooser.choose(withPrefix(QStringLiteral("7"), 5000), random);
        cr_assert(choice && choice->replica == QStringLiteral("7"));
        cr_assert_eq(choice->expectedCachedTokens, 5000);
    }
}

Test(ReplicaChooser, avoidsAHolderLoadedFarAboveTheMean)
{
    std::mt19937_64 random(1);
    ReplicaChooser chooser;
    addReplicas(chooser, 10);
    for (int call = 0; call < 7; ++call)
        chooser.started(QStringLiteral("7"), start);
    const auto choice = chooser.choose(withPrefix(QStringLiteral("7"), 5000), random);
    cr_assert(choice && choice->replica != QStringLiteral("7"));
}

Test(ReplicaChooser, lowConfidenceDoesNotOutweighLoad)
{
    std::mt19937_64 random(1);
    ReplicaChooser chooser;
    addReplicas(chooser, 2);
    for (int call = 0; call < 3; ++call)
        chooser.started(QStringLiteral("0"), start);
    int toHolder = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const auto choice = chooser.choose(withPrefix(QStringLiteral("0"), 2000, 0.05), random);
        toHolder += choice->replica == QStringLiteral("0") ? 1 : 0;
    }
    cr_assert_lt(toHolder, 50);
}

Test(ReplicaChooser, neverChoosesLeavingBrokenQuarantinedOrExcluded)
{
    std::mt19937_64 random(2);
    ReplicaChooser chooser;
    addReplicas(chooser, 5);
    chooser.setState(QStringLiteral("0"), ReplicaState::Leaving);
    chooser.setState(QStringLiteral("1"), ReplicaState::Broken);
    chooser.setState(QStringLiteral("2"), ReplicaState::Quarantined);
    ChoiceRequest request = withPrefix(QStringLiteral("0"), 9000);
    request.excluded.push_back(QStringLiteral("3"));
    for (int attempt = 0; attempt < 200; ++attempt)
        cr_assert(chooser.choose(request, random)->replica == QStringLiteral("4"));
    chooser.removeReplica(QStringLiteral("4"));
    cr_assert_not(chooser.choose(request, random).has_value());
}

Test(ReplicaChooser, placesSuspectsOnDifferentReplicas)
{
    std::mt19937_64 random(3);
    ReplicaChooser chooser;
    addReplicas(chooser, 2);
    ChoiceRequest suspect;
    suspect.suspect = true;
    const QString first = chooser.choose(suspect, random)->replica;
    chooser.started(first, start, true);
    const QString second = chooser.choose(suspect, random)->replica;
    cr_assert(first != second);
    chooser.started(second, start, true);
    cr_assert_not(chooser.choose(suspect, random).has_value());
    chooser.finished(first, start + 1s, true);
    cr_assert(chooser.choose(suspect, random)->replica == first);
}

Test(ReplicaChooser, correctsADelayedReportByItsOwnCalls)
{
    ReplicaChooser chooser;
    addReplicas(chooser, 1);
    const QString name = QStringLiteral("0");
    chooser.started(name, start);
    chooser.started(name, start + 100ms);
    chooser.reportLoad(name, {4, start + 50ms}); // one own call and three of other VMs
    cr_assert_eq(chooser.estimatedSequences(name), 5);
    chooser.finished(name, start + 200ms);
    cr_assert_eq(chooser.estimatedSequences(name), 4);
    chooser.reportLoad(name, {9, start + 10ms}); // measured before the last report
    cr_assert_eq(chooser.estimatedSequences(name), 4);
}

Test(ReplicaChooser, findsRoomWheneverThereIsAnyAndNeverExceedsCapacity)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        ReplicaChooser chooser;
        addReplicas(chooser, 20, 3);
        for (int call = 0; call < 60; ++call) {
            const auto choice = chooser.choose({}, random);
            cr_assert(choice.has_value(), "seed %lu call %d", seed, call);
            chooser.started(choice->replica, start);
            cr_assert_leq(chooser.estimatedSequences(choice->replica), 3, "seed %lu", seed);
        }
        cr_assert_not(chooser.choose({}, random).has_value(), "seed %lu", seed);
    }
}

Test(ReplicaChooser, aVmBelowItsEqualShareIsServedByAPoolThatOthersFill)
{
    std::mt19937_64 random(5);
    ReplicaChooser chooser;
    addReplicas(chooser, 4, 8);
    for (int index = 0; index < 4; ++index)
        chooser.reportLoad(QString::number(index), {8, start});
    cr_assert_not(chooser.choose({}, random).has_value());
    chooser.setSendingVms(8);
    int sent = 0;
    while (const auto choice = chooser.choose({}, random)) {
        chooser.started(choice->replica, start + 1s);
        cr_assert_leq(chooser.estimatedSequences(choice->replica), 12);
        ++sent;
    }
    cr_assert_eq(sent, 4 * 8 / 8, "expected exactly its equal share, got %d", sent);
}

Test(ReplicaChooser, spreadsWorkBetterThanTheBaselineWhileReportsAreDelayed)
{
    std::mt19937_64 random(4);
    ReplicaChooser chooser;
    LeastReportedLoadChooser naive;
    std::map<QString, int> chosen;
    std::map<QString, int> naiveChosen;
    for (int index = 0; index < 10; ++index) {
        const ReplicaDescriptor descriptor{QString::number(index), 100};
        chooser.setReplica(descriptor);
        naive.setReplica(descriptor);
        const LoadReport report{index == 0 ? 0 : 10, start};
        chooser.reportLoad(descriptor.name, report);
        naive.reportLoad(descriptor.name, report);
    }
    for (int call = 0; call < 100; ++call) {
        const QString name = chooser.choose({}, random)->replica;
        chooser.started(name, start + 1ms);
        ++chosen[name];
        ++naiveChosen[*naive.choose()];
    }
    cr_assert_eq(naiveChosen[QStringLiteral("0")], 100);
    cr_assert_leq(chosen[QStringLiteral("0")], 40);
}

Test(PrefixDirectory, gapsAndMissesLowerConfidence)
{
    PrefixDirectory directory;
    const QString replica = QStringLiteral("r");
    directory.served(QStringLiteral("p"), replica, 1000);
    cr_assert_float_eq(directory.find(QStringLiteral("p"))->confidence, 1, 1e-9);
    directory.eventSeen(replica, 1);
    directory.eventSeen(replica, 2);
    cr_assert_float_eq(directory.find(QStringLiteral("p"))->confidence, 1, 1e-9);
    directory.eventSeen(replica, 7);
    const double afterGap = directory.find(QStringLiteral("p"))->confidence;
    cr_assert_lt(afterGap, 1);
    directory.observed(replica, 1000, 0);
    const double afterMiss = directory.find(QStringLiteral("p"))->confidence;
    cr_assert_lt(afterMiss, afterGap);
    directory.observed(replica, 1000, 1000);
    cr_assert_gt(directory.find(QStringLiteral("p"))->confidence, afterMiss);
}

Test(PrefixDirectory, removesEntriesOnEvictionCrashAndOverflow)
{
    PrefixDirectory directory(2);
    const QString replica = QStringLiteral("r");
    directory.served(QStringLiteral("a"), replica, 10);
    directory.served(QStringLiteral("b"), replica, 10);
    directory.served(QStringLiteral("c"), replica, 10);
    cr_assert_not(directory.find(QStringLiteral("a")).has_value());
    directory.evicted(replica, 1, QStringLiteral("b"));
    cr_assert_not(directory.find(QStringLiteral("b")).has_value());
    directory.forgetReplica(replica);
    cr_assert_not(directory.find(QStringLiteral("c")).has_value());
    directory.served(QStringLiteral("c"), replica, 10);
    cr_assert(directory.find(QStringLiteral("c")).has_value());
}
