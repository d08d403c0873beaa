#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/ids/VmIncarnation.h"

#include <QByteArray>

#include <map>
#include <set>

namespace lacewingmux {

class ModelChecks;
class ReplicatedJournal;
struct ModelEffect;

/**
    Minimal aggregates on one VM's journal: lists of claims, each of which must run at most once.
    It runs a claim when its entry is committed and reports it to the checks.
*/
class ClaimRunner
{
public:
    ClaimRunner(ReplicatedJournal &replicatedJournal, ModelChecks &modelChecks, VmIncarnation self);

    /** Runs the claim unless it is known or may have run before a loss of state. */
    void submit(const ModelEffect &claim);

    /** Asks the journal to confirm that this VM still owns the slot. */
    void confirm(SlotIndex slot);

private:
    ReplicatedJournal &journal;
    ModelChecks &checks;
    VmIncarnation vm;
    std::map<AggregateId, std::set<QByteArray>> known; ///< claims in the slots that this VM owns
};

} // namespace lacewingmux
