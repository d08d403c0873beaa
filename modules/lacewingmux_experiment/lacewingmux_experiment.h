#pragma once

/*
 * Module lacewingmux_experiment
 *
 * Measures the decisions of lacewingmux_scheduling against their naive versions: workloads read
 * from JSON, a simple model of replicas on a virtual clock, and summaries as tables, JSON and
 * plots. Every VM decides alone from late reports, as in the daemon.
 *
 * Depends on: lacewingmux_scheduling.
 */

#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/results/RunResult.h"
#include "lacewingmux_experiment/simulation/Simulation.h"
#include "lacewingmux_experiment/workload/ProgramGenerator.h"
#include "lacewingmux_experiment/workload/Workload.h"
#include "lacewingmux_experiment/workload/WorkloadReader.h"
