#pragma once

/*
 * Module lacewingmux_records
 *
 * What has to outlive entry VMs: the turns of programs, what programs have reserved and handed
 * out, and the teams' quotas. Records VMs keep it on their disks; entry VMs reach them through
 * RecordsClient and FleetQuota. The records VMs agree on their members through the platform's
 * store, and need nothing else from it while they work.
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
