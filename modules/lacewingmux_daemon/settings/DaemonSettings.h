#pragma once

#include "lacewingmux_peer/links/TlsFileSet.h"

#include <QString>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** An IP address and a port to listen on. */
struct ListenSettings
{
    QString address;
    std::uint16_t port = 0;
};

/** Where another daemon's control channel can be reached. */
struct SeedPeer
{
    QString address;
    std::uint16_t controlPort = 0;
};

/** How this daemon talks to its peers. */
struct PeerSettings
{
    QString address;
    std::uint16_t controlPort = 0;
    std::uint16_t trafficPort = 0;
    QString advertisedAddress; ///< what peers dial; the same as above unless set
    std::uint16_t advertisedControlPort = 0;
    std::uint16_t advertisedTrafficPort = 0;
    std::vector<SeedPeer> seeds;
    QString sharedSecretFile; ///< empty when TLS alone proves the peers
    std::optional<TlsFileSet> tls;
    qsizetype frameLimitBytes = 0;
    qsizetype sendBufferLimitBytes = 0;
};

/** How this daemon uses the platform's store. */
struct StoreSettings
{
    std::vector<QString> endpoints;
    double callsPerSecond = 0;
    double burstCalls = 0;
    std::chrono::milliseconds callTimeout{0};
};

/** The bounds held against callers. */
struct CallerLimitSettings
{
    qint64 bodyBytes = 0;
    qint64 headerBytes = 0;
    int connections = 0;
    std::chrono::milliseconds idleTimeout{0};
    std::chrono::milliseconds slowRequestTimeout{0};
};

/** How the VMs of a zone watch each other. */
struct MembershipSettings
{
    std::chrono::milliseconds heartbeatInterval{0};
    std::chrono::milliseconds failureTimeout{0};
};

/** How a planned stop proceeds. */
struct StopSettings
{
    std::chrono::milliseconds balancerDelay{0}; ///< from unready until connections are refused
    std::chrono::milliseconds timeout{0};       ///< until the daemon stops waiting for its work
};

/** Where the daemon logs. */
struct LogSettings
{
    QString folder; ///< empty means the standard error stream
    QString level;
};

/** Everything a daemon reads from its settings file. docs/SETTINGS.md lists the fields. */
struct DaemonSettings
{
    QString vm;
    QString zone;
    QString fleet;
    std::vector<QString> zones;
    ListenSettings callers;
    ListenSettings operators;
    QString operatorTokenFile; ///< empty means that the operators' port asks for no token
    PeerSettings peers;
    StoreSettings store;
    QString dataFolder; ///< empty when the VM has no disk for bulk data
    CallerLimitSettings limits;
    MembershipSettings membership;
    StopSettings stop;
    LogSettings log;
};

} // namespace lacewingmux
