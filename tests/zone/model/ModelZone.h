#pragma once

#include "zone/model/ModelChecks.h"
#include "zone/model/ModelNetwork.h"
#include "zone/model/ModelVm.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace lacewingmux {

/** The faults that a schedule may inject into a model zone. */
enum class ModelRules {
    OneAtATime,  ///< as the membership rules allow; state is never lost
    Unrestricted ///< any VM may fail at any time; lost state must be reported
};

/**
    A zone of a few VMs under one random schedule of deliveries, event loop turns, pauses, cuts,
    broken links, crashes, new incarnations and view changes.
*/
class ModelZone
{
public:
    ModelZone(std::uint64_t scheduleSeed, ModelRules modelRules,
              const JournalFaults &journalFaults);
    ~ModelZone();

    /** Runs steps until one violates an invariant or the number is reached. */
    void run(int steps);

    /** Ends all faults and runs until the zone converges; it must then work again. */
    void recoverAndConverge();

    [[nodiscard]] const ModelChecks &result() const noexcept
    {
        return this->checks;
    }

private:
    void step();
    void submitOrConfirm(std::size_t choice);
    void injectFault();
    void submitClaim();
    void changeView();
    void join();
    void drop(std::size_t index);
    void crash();
    void publish(std::vector<VmDescriptor> members);
    void deliverView(ModelVm &vm);
    [[nodiscard]] bool mayRemoveOne() const;
    [[nodiscard]] bool hasConverged() const;
    [[nodiscard]] ModelVm &randomVm();
    [[nodiscard]] ModelVm *find(const VmIncarnation &incarnation) const;
    [[nodiscard]] std::size_t randomBelow(std::size_t limit);
    void makeVm(int number);

    std::mt19937_64 random;
    ModelRules rules;
    JournalFaults faults;
    ModelChecks checks;
    ModelNetwork network;
    std::vector<std::unique_ptr<ModelVm>> vms;
    ViewHistory history;
    std::shared_ptr<const ZoneView> view; ///< the current view in the store
    std::vector<ModelEffect> claims;
    std::vector<AggregateId> aggregates;
    std::uint64_t nextIncarnation = 1;
    std::size_t faultsPerThousandSteps = 0; ///< share of faults and view changes
};

} // namespace lacewingmux
