#pragma once

/*
 * Module lacewingmux_allowance
 *
 * Rates, bursts and power: the aggregates TeamAllowance and PowerAllowance, the conserved shares
 * that zones hold of them, and the gates at which requests are admitted.
 *
 * Depends on: lacewingmux_core, lacewingmux_zone, lacewingmux_config.
 */

#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_allowance/admission/PowerGate.h"
#include "lacewingmux_allowance/admission/PowerReservation.h"
