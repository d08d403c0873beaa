#pragma once

#include <cstdint>

namespace lacewingmux {

/** The mechanisms of a platform node that operators can switch off, to rule them out in an incident
    or to measure what they are worth. */
enum class Feature : std::uint8_t {
    PromptSharing,      ///< a few replicas share each frequent prompt part
    VmPreference,       ///< each entry VM prefers other replicas among equal ones
    ReplicaPace,        ///< durations are learned where replicas report their pace
    ReplicaPriorities,  ///< turns carry priorities where replicas report their pace
    ProgramAdmission,   ///< programs that would end too late are rejected at their first turn
    ReadinessBySilence, ///< an entry VM whose records VMs are silent takes no new callers
    Tunnels             ///< replicas are reached through records VMs if direct links fail
};

} // namespace lacewingmux
