#pragma once

/*
 * Module lacewingmux_node
 *
 * The two nodes that run on a platform of the operators' own: the front on entry VMs and the
 * records on VMs with disks. Each has one thread for control and one for traffic; what the
 * platform spells in its own way comes in through NodeSeams.
 *
 * Depends on: lacewingmux_records, lacewingmux_report, Qt HTTP Server.
 */

#include "lacewingmux_node/front/FrontNode.h"
#include "lacewingmux_node/records/RecordsNode.h"
#include "lacewingmux_node/settings/NodeSeams.h"
#include "lacewingmux_node/settings/NodeSettings.h"
