#pragma once

namespace lacewingmux {

/**
    Parts of the replication that can be switched off, each on its own, for the schedule tests:
    they assert that their checks find what goes wrong without that part. All are off in use.
*/
struct JournalFaults
{
    bool ignoreEpochFence = false; ///< a backup acknowledges entries of owners of older epochs
    bool commitWithoutAck = false; ///< an owner commits without waiting for its backup
    bool skipSurvey = false;       ///< an owner takes its own copy for authoritative
    bool acceptGaps = false;       ///< a backup applies entries whose predecessors are missing
    bool hideLoss = false;         ///< an owner calls a slot complete after its state was lost
    bool commitOnStepDown = false; ///< an owner that steps down calls its entries committed
    bool actAlone = false;         ///< a VM takes itself for the only member of each view
    bool applyDuplicates = false;  ///< a backup applies an entry again that it holds already
};

} // namespace lacewingmux
