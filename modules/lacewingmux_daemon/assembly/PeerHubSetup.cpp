#include "lacewingmux_daemon/assembly/PeerHubSetup.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"

#include <QFile>

namespace lacewingmux {

namespace {

constexpr qsizetype shortestSecretBytes = 16;

QByteArray readSecret(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        throw LacewingmuxError(
                ErrorKind::ConfigurationInvalid,
                QStringLiteral("shared secret %1: %2").arg(path, file.errorString()));
    const QByteArray secret = file.readAll().trimmed();
    if (secret.size() < shortestSecretBytes)
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("shared secret %1: shorter than %2 bytes")
                                       .arg(path)
                                       .arg(shortestSecretBytes));
    return secret;
}

} // namespace

VmDescriptor describeSelf(const DaemonSettings &settings, std::uint64_t incarnation)
{
    VmDescriptor self;
    self.incarnation = {settings.vm, settings.zone, incarnation};
    self.address = settings.peers.advertisedAddress;
    self.controlPort = settings.peers.advertisedControlPort;
    self.trafficPort = settings.peers.advertisedTrafficPort;
    self.hasDataFolder = !settings.dataFolder.isEmpty();
    return self;
}

PeerHubSettings hubSettingsOf(const DaemonSettings &settings, const VmIncarnation &self,
                              PeerChannel channel)
{
    const PeerSettings &peers = settings.peers;
    PeerHubSettings result;
    result.self = self;
    result.fleet = settings.fleet;
    result.channel = channel;
    result.address = QHostAddress(peers.address);
    result.port = channel == PeerChannel::Control ? peers.controlPort : peers.trafficPort;
    if (!peers.sharedSecretFile.isEmpty())
        result.sharedSecret = readSecret(peers.sharedSecretFile);
    if (peers.tls)
        result.tls = peers.tls->load();
    result.frameLimitBytes = peers.frameLimitBytes;
    result.sendBufferLimitBytes = peers.sendBufferLimitBytes;
    return result;
}

std::vector<VmDescriptor> seedPeersOf(const DaemonSettings &settings)
{
    std::vector<VmDescriptor> peers;
    for (const SeedPeer &seed : settings.peers.seeds) {
        VmDescriptor peer;
        peer.address = seed.address;
        peer.controlPort = seed.controlPort;
        peers.push_back(peer);
    }
    return peers;
}

} // namespace lacewingmux
