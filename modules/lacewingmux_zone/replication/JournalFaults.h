#pragma once

namespace lacewingmux {

/**
    Fault injection for the schedule tests. Each flag disables one part of the replication; the
    tests assert that their checks detect the resulting violation. All are off in production.
*/
struct JournalFaults
{
    bool ignoreEpochFence = false; ///< a backup acknowledges entries of owners of older epochs
    bool commitWithoutAck = false; ///< an owner commits without waiting for its backup
    bool skipSurvey = false;       ///< an owner treats its own copy as authoritative
    bool acceptGaps = false;       ///< a backup applies entries whose predecessors are missing
    bool hideLoss = false;         ///< an owner reports a slot as complete after losing its state
    bool commitOnStepDown = false; ///< an owner that steps down reports its entries as committed
    bool actAsSoleMember = false;  ///< a VM acts as the only member of each view
    bool applyDuplicates = false;  ///< a backup applies entries that it already holds
};

} // namespace lacewingmux
