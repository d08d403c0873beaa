#pragma once

/*
 * Module lacewingmux_daemon
 *
 * The daemon of one entry VM, put together from all other modules, and its settings. Embed it by
 * making a Daemon from DaemonSettings; programs/lacewingmuxd is no more than that.
 *
 * Depends on: every other module.
 */

#include "lacewingmux_daemon/settings/DaemonSettings.h"
#include "lacewingmux_daemon/settings/DaemonSettingsReader.h"
