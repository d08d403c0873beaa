#include "lacewingmux_records/configuration/ConfigurationRelay.h"

#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <utility>

namespace lacewingmux {

ConfigurationRelay::ConfigurationRelay(
        PeerHub &peerHub, std::function<void(const ConfigurationDocumentMessage &)> newerHook)
    : hub(peerHub)
    , newerConfiguration(std::move(newerHook))
{
    this->hub.setHandler(
            FrameKind::ConfigurationDocumentRequest, [this](const auto &peer, const auto &) {
                this->hub.send(peer, {FrameKind::ConfigurationDocumentReply, 0, 0,
                                      RecordsCodec::encodeConfiguration(this->configuration)});
            });
    this->hub.setHandler(FrameKind::ConfigurationDocumentReply,
                         [this](const auto &, const auto &frame) {
                             const auto message = RecordsCodec::decodeConfiguration(frame.payload);
                             if (message && message->version > this->configuration.version)
                                 this->newerConfiguration(*message);
                         });
}

ConfigurationRelay::~ConfigurationRelay() = default;

void ConfigurationRelay::setConfiguration(const ConfigurationDocumentMessage &newest)
{
    if (newest.version > this->configuration.version)
        this->configuration = newest;
}

void ConfigurationRelay::requestIfNewer(const VmIncarnation &peer, std::uint64_t version)
{
    if (version > this->configuration.version)
        this->hub.send(peer, {FrameKind::ConfigurationDocumentRequest, 0, 0, {}});
}

} // namespace lacewingmux
