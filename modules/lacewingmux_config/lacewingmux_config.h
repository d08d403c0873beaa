#pragma once

/*
 * Module lacewingmux_config
 *
 * The operators' configuration: plans, allowances, routes and objectives as one checked document
 * with a revision, the callers' keys as salted digests, and how a revision spreads over the VMs.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_peer, FlatBuffers.
 */

#include "lacewingmux_config/documents/Allowance.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_config/documents/Route.h"
#include "lacewingmux_config/documents/ServiceLevelObjective.h"
#include "lacewingmux_config/documents/TeamPlan.h"
#include "lacewingmux_config/keys/KeyRegister.h"
#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_config/records/RevisionedRecord.h"
#include "lacewingmux_config/service/CallerAuthority.h"
#include "lacewingmux_config/service/ConfigurationPeers.h"
#include "lacewingmux_config/service/ConfigurationService.h"
#include "lacewingmux_config/service/StoreContact.h"
