#pragma once

/*
 * Module lacewingmux_node
 *
 * The two node types for deployment on the operators' platform: FrontNode on entry VMs and
 * RecordsNode on VMs with a disk. Each has a control thread and a traffic thread. Formats and keys
 * that are specific to the platform are supplied through PlatformAdapter.
 *
 * Depends on: lacewingmux_records, lacewingmux_report, Qt HTTP Server.
 */

#include "lacewingmux_node/front/FrontNode.h"
#include "lacewingmux_node/records/RecordsNode.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_node/settings/PlatformAdapter.h"
