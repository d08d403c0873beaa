#pragma once

/*
 * Module lacewingmux_config
 *
 * The operators' configuration: plans, allowances, routes and objectives as one checked document
 * with a revision, the callers' keys as salted digests, and how a revision spreads over the VMs.
 *
 * Depends on: lacewingmux_core, lacewingmux_platform.
 */

#include "lacewingmux_config/documents/Allowance.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_config/documents/Route.h"
#include "lacewingmux_config/documents/ServiceLevelObjective.h"
#include "lacewingmux_config/documents/TeamPlan.h"
#include "lacewingmux_config/keys/IssuedKey.h"
#include "lacewingmux_config/keys/KeyEntry.h"
#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_config/keys/KeyVerdict.h"
#include "lacewingmux_config/records/RecordEditResult.h"
#include "lacewingmux_config/records/RecordEditor.h"
#include "lacewingmux_config/records/RecordKeys.h"
#include "lacewingmux_config/records/RevisionedRecord.h"
