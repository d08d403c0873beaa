#pragma once

/*
 * Module lacewingmux_tunnel
 *
 * TCP tunnels through other VMs. A VM that cannot connect to a replica asks another VM to connect
 * for it, and then exchanges bytes with the replica over that VM. One tunnel carries one
 * connection, so a close or a reset of the replica looks the same as on a direct connection.
 *
 * Depends on: lacewingmux_core, lacewingmux_peer (frames), Qt Network, FlatBuffers.
 */

#include "lacewingmux_tunnel/client/StreamConnector.h"
#include "lacewingmux_tunnel/client/TunnelDirectory.h"
#include "lacewingmux_tunnel/messages/TunnelCodec.h"
#include "lacewingmux_tunnel/server/TunnelServer.h"
