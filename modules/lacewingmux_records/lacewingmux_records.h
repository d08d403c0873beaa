#pragma once

/*
 * Module lacewingmux_records
 *
 * State that must survive the loss of entry VMs, whose gateways receive the requests of callers:
 * the turns of programs, the tokens that programs have reserved and used, and the quotas of teams.
 * Records VMs store it on their disks; entry VMs access it through RecordsClient and FleetQuota.
 * The records VMs agree on their membership through the platform's store and need nothing else from
 * the store during operation.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_peer, lacewingmux_gateway,
 * FlatBuffers, Boost.CRC.
 */

#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/client/RecordsClient.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/log/SegmentedLog.h"
#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_records/server/RecordsServer.h"
