#pragma once

/*
 * Module lacewingmux_relay
 *
 * Distributes the contents of the platform's store from a few VMs to the others, so that the number
 * of store calls does not grow with the number of VMs. A relay watches the store and sends each
 * change to its subscribers; a subscriber that no relay serves with recent data watches the store
 * itself.
 *
 * RelayedStore belongs to the control thread, the links belong to the traffic thread.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_peer, FlatBuffers.
 */

#include "lacewingmux_relay/links/RelayClient.h"
#include "lacewingmux_relay/links/RelayServer.h"
#include "lacewingmux_relay/store/RelayDuty.h"
#include "lacewingmux_relay/store/RelayedStore.h"
