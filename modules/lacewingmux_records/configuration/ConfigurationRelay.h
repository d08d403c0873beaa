#pragma once

#include "lacewingmux_records/messages/RecordMessages.h"

#include <cstdint>
#include <functional>

namespace lacewingmux {

class PeerHub;
struct VmIncarnation;

/**
    Exchanges the operators' configuration between VMs, so that a VM that can't reach the platform's
    store still receives the newest version from a peer.
*/
class ConfigurationRelay
{
public:
    /** The hook receives each version from a peer that is newer than the current one. */
    ConfigurationRelay(PeerHub &peerHub,
                       std::function<void(const ConfigurationDocumentMessage &)> newerHook);
    ~ConfigurationRelay();
    ConfigurationRelay(const ConfigurationRelay &) = delete;
    ConfigurationRelay &operator=(const ConfigurationRelay &) = delete;

    /** Sets the configuration in force, which is sent to peers; an older one is ignored. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

    /** Requests the peer's configuration if its version is newer. */
    void requestIfNewer(const VmIncarnation &peer, std::uint64_t version);

    /** Returns the current version; 0 before the first one. */
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
