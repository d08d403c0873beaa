#pragma once

/*
 * Module lacewingmux_report
 *
 * Metrics as bounded histograms, their Prometheus text form and the service-level burn report.
 *
 * Depends on: lacewingmux_core, lacewingmux_config, Boost.Histogram.
 */

#include "lacewingmux_report/burn/BurnHistory.h"
#include "lacewingmux_report/burn/BurnRecorder.h"
#include "lacewingmux_report/burn/BurnReport.h"
#include "lacewingmux_report/metrics/DurationHistogram.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_report/metrics/MetricDescription.h"
#include "lacewingmux_report/metrics/MetricsCatalogue.h"
#include "lacewingmux_report/metrics/MetricsSnapshot.h"
#include "lacewingmux_report/metrics/PrometheusText.h"
