#pragma once

#include "lacewingmux_records/messages/RecordMessages.h"

#include <cstdint>
#include <functional>

namespace lacewingmux {

class PeerHub;
struct VmIncarnation;

/**
    Passes the operators' configuration on between VMs, so that one that the platform's store does
    not reach still gets the newest version from a peer.
*/
class ConfigurationRelay
{
public:
    /** The hook gets each version from a peer that is newer than the one in force here. */
    ConfigurationRelay(PeerHub &peerHub,
                       std::function<void(const ConfigurationDocumentMessage &)> newerHook);
    ~ConfigurationRelay();
    ConfigurationRelay(const ConfigurationRelay &) = delete;
    ConfigurationRelay &operator=(const ConfigurationRelay &) = delete;

    /** Takes the configuration in force, to pass on; an older one than before is ignored. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

    /** Asks the peer for its configuration if the version that it names is newer. */
    void askIfNewer(const VmIncarnation &peer, std::uint64_t version);

    /** Returns the version in force here; 0 before there is one. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return this->configuration.version;
    }

private:
    PeerHub &hub;
    std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
    ConfigurationDocumentMessage configuration;
};

} // namespace lacewingmux
