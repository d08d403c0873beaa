#pragma once

/*
 * Module lacewingmux_core
 *
 * Identifiers, the closed list of error kinds with its table of answers, the timer service,
 * structured logging, the reader of JSON settings and the interface through which every module
 * records metrics.
 *
 * Depends on: Qt Core, glog.
 */

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/ids/AggregateKind.h"
#include "lacewingmux_core/ids/MintedId.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/metrics/WorkCounter.h"
#include "lacewingmux_core/settings/FieldRules.h"
#include "lacewingmux_core/settings/SettingsFindings.h"
#include "lacewingmux_core/settings/SettingsReader.h"
#include "lacewingmux_core/time/EventLoopMonitor.h"
#include "lacewingmux_core/time/JitteredBackoff.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
