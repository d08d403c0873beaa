#pragma once

/*
 * Module lacewingmux_peer
 *
 * The protocol between the daemons: TCP frames that carry FlatBuffers, the handshake with
 * version, zone and proof of the shared secret, and the links with their reconnection.
 *
 * Depends on: lacewingmux_core, Qt Network, FlatBuffers.
 */

#include "lacewingmux_peer/framing/FrameCodec.h"
#include "lacewingmux_peer/framing/FrameDecoder.h"
#include "lacewingmux_peer/handshake/PeerHandshake.h"
#include "lacewingmux_peer/links/FrameDispatch.h"
#include "lacewingmux_peer/links/InMemoryPeerHub.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"
#include "lacewingmux_peer/links/PeerLink.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_peer/links/TlsFileSet.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_peer/messages/PeerChannel.h"
#include "lacewingmux_peer/messages/PeerFrame.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
