#pragma once

/*
 * Module lacewingmux_operator
 *
 * The operators' command lacewingmuxctl as a library: its command line, its sub-commands and the
 * tables that it prints.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_config, lacewingmux_report,
 * Qt Network, cxxopts.
 */

#include "lacewingmux_operator/client/OperatorClient.h"
#include "lacewingmux_operator/commands/CommandOptions.h"
#include "lacewingmux_operator/commands/ExitCode.h"
#include "lacewingmux_operator/commands/OperatorCommand.h"
#include "lacewingmux_operator/rendering/DocumentDifference.h"
#include "lacewingmux_operator/rendering/TextTable.h"
