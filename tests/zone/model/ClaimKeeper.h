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
    The simplest aggregates there can be, on top of one VM's journal: lists of claims, each of which
    is to be run at most once. It runs a claim when its entry is committed, and tells the checks.
*/
class ClaimKeeper
{
public:
    ClaimKeeper(ReplicatedJournal &replicatedJournal, ModelChecks &modelChecks, VmIncarnation self);

    /** Runs the claim unless it is known, or may have been run before a loss. */
    void submit(const ModelEffect &claim);

    /** Asks whether this VM still owns the slot. */
    void confirm(SlotIndex slot);

private:
    ReplicatedJournal &journal;
    ModelChecks &checks;
    VmIncarnation vm;
    std::map<AggregateId, std::set<QByteArray>> known; ///< claims of the slots it owns
};

} // namespace lacewingmux
