#pragma once

#include "zone/model/ModelChecks.h"
#include "zone/model/ModelNetwork.h"
#include "zone/model/ModelVm.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace lacewingmux {

/** What a schedule may do to a model zone. */
enum class ModelRules {
    OneAtATime, ///< as the membership's rules have it: state is never lost
    Rough       ///< any VMs may go at any moment: state may be lost, but must be known to be
};

/**
    A zone of a few VMs under one random schedule of deliveries, turns of the loops, pauses, cuts,
    broken links, crashes, new incarnations and view changes.
*/
class ModelZone
{
public:
    ModelZone(std::uint64_t scheduleSeed, ModelRules modelRules,
              const JournalFaults &journalFaults);
    ~ModelZone();

    /** Takes steps until one breaks an invariant or the number is reached. */
    void run(int steps);

    /** Ends all faults and lets the zone come to rest; then everything must work again. */
    void settle();

    [[nodiscard]] const ModelChecks &result() const noexcept
    {
        return this->checks;
    }

private:
    void step();
    void submitOrConfirm(std::size_t choice);
    void disturb();
    void submitClaim();
    void changeView();
    void join();
    void drop(std::size_t index);
    void crash();
    void publish(std::vector<VmDescriptor> members);
    void teach(ModelVm &vm);
    [[nodiscard]] bool mayLoseOne() const;
    [[nodiscard]] bool isAtRest() const;
    [[nodiscard]] ModelVm &anyVm();
    [[nodiscard]] ModelVm *find(const VmIncarnation &incarnation) const;
    [[nodiscard]] std::size_t below(std::size_t limit);
    void makeVm(int number);

    std::mt19937_64 random;
    ModelRules rules;
    JournalFaults faults;
    ModelChecks checks;
    ModelNetwork network;
    std::vector<std::unique_ptr<ModelVm>> vms;
    ViewHistory history;
    std::shared_ptr<const ZoneView> view; ///< the record in the store
    std::vector<ModelEffect> claims;
    std::vector<AggregateId> aggregates;
    std::uint64_t nextIncarnation = 1;
    std::size_t disturbances = 0; ///< how many of a thousand steps are faults or view changes
};

} // namespace lacewingmux
