#pragma once

/*
 * Module lacewingmux_allowance
 *
 * Rate and burst limits of teams and the site's power cap: the aggregates TeamAllowance and
 * PowerAllowance, the shares of them that the zones hold and whose sum stays constant, and the
 * admission of requests.
 *
 * Depends on: lacewingmux_core, lacewingmux_zone, lacewingmux_config.
 */

#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_allowance/admission/OwnerEstimates.h"
#include "lacewingmux_allowance/admission/PowerBudget.h"
#include "lacewingmux_allowance/admission/PowerReservation.h"
#include "lacewingmux_allowance/admission/TeamAdmission.h"
#include "lacewingmux_allowance/admission/TokenCache.h"
#include "lacewingmux_allowance/admission/ZonePowerBudget.h"
#include "lacewingmux_allowance/aggregates/DecayingRate.h"
#include "lacewingmux_allowance/aggregates/PowerAllowance.h"
#include "lacewingmux_allowance/aggregates/TeamAllowance.h"
#include "lacewingmux_allowance/messages/GrantMessages.h"
#include "lacewingmux_allowance/owner/AllowanceOwner.h"
#include "lacewingmux_allowance/owner/ItemDemand.h"
#include "lacewingmux_allowance/shares/DemandDrivenShares.h"
#include "lacewingmux_allowance/shares/LocalShare.h"
#include "lacewingmux_allowance/shares/ReportedNeeds.h"
#include "lacewingmux_allowance/shares/ShareAnnouncement.h"
#include "lacewingmux_allowance/shares/ShareCounters.h"
#include "lacewingmux_allowance/shares/ShareItem.h"
#include "lacewingmux_allowance/shares/ShareRebalancer.h"
#include "lacewingmux_allowance/shares/ShareRecord.h"
#include "lacewingmux_allowance/shares/ShareRecordCache.h"
#include "lacewingmux_allowance/shares/ShareRecordStore.h"
#include "lacewingmux_allowance/shares/ShareTable.h"
