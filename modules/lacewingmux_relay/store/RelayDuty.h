#pragma once

#include "lacewingmux_keyvalue/store/ProbePace.h"
#include "lacewingmux_relay/links/RelayState.h"

namespace lacewingmux {

/** Decides how a VM that can relay accesses the store. */
struct RelayDuty
{
    bool hasSubscribers = false;
    bool isPreferredRelay = false;
    RelayState relayState = RelayState::NotServed; ///< of the relays that this VM subscribes to

    /** Returns whether the VM watches the store itself. */
    [[nodiscard]] bool usesStore() const noexcept
    {
        return this->hasSubscribers || this->isPreferredRelay
               || this->relayState != RelayState::Served;
    }

    /** Returns how often it probes the store: the preferred relay of each zone detects the end of
       an outage for the others. If other relays are served, the store rejects this VM alone, and
        nobody waits for it. */
    [[nodiscard]] ProbePace probePace() const noexcept
    {
        const bool tellsOthers =
                this->isPreferredRelay && this->relayState == RelayState::StoreLost;
        return tellsOthers || this->relayState == RelayState::NotServed ? ProbePace::Quick
                                                                        : ProbePace::Relaxed;
    }
};

} // namespace lacewingmux
