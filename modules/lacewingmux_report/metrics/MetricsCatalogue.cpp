#include "lacewingmux_report/metrics/MetricsCatalogue.h"

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

constexpr std::array catalogue{
        MetricDescription{"lacewingmux_cached_tokens_total", MetricType::Counter,
                          "Prompt tokens that replicas served from their prefix caches, by route."},
        MetricDescription{"lacewingmux_call_retries_total", MetricType::Counter,
                          "Calls sent to another replica after a failure, by route."},
        MetricDescription{"lacewingmux_caller_connections", MetricType::Gauge,
                          "Connections of callers that are open."},
        MetricDescription{"lacewingmux_calls_total", MetricType::Counter,
                          "Calls dispatched to replicas, by route and outcome."},
        MetricDescription{"lacewingmux_cold_redirects_total", MetricType::Counter,
                          "Calls sent to another replica because a cold one had no token left."},
        MetricDescription{"lacewingmux_cold_replicas", MetricType::Gauge,
                          "Replicas that this VM treats as cold."},
        MetricDescription{"lacewingmux_configuration_revision", MetricType::Gauge,
                          "Revision of the configuration in force in this VM."},
        MetricDescription{"lacewingmux_configuration_store_age_seconds", MetricType::Gauge,
                          "Time since this VM's keys were last known to be the store's."},
        MetricDescription{"lacewingmux_cut_events_total", MetricType::Counter,
                          "Attempts at replicas whose stream broke off within an event."},
        MetricDescription{"lacewingmux_discarded_responses_total", MetricType::Counter,
                          "Responses of replicas that were discarded as those to other requests."},
        MetricDescription{"lacewingmux_early_ends_total", MetricType::Counter,
                          "Calls that ended without the complete response of a replica that may "
                          "have run them, by reason."},
        MetricDescription{"lacewingmux_event_loop_delay_seconds", MetricType::Histogram,
                          "Delays of more than 0.1 s of the event loop of a VM's traffic thread."},
        MetricDescription{"lacewingmux_forward_retries_total", MetricType::Counter,
                          "Requests asked again at a newer owner."},
        MetricDescription{"lacewingmux_histories_fetched_total", MetricType::Counter,
                          "Histories of turns that a front had to ask a records VM for."},
        MetricDescription{"lacewingmux_input_tokens_total", MetricType::Counter,
                          "Prompt tokens of completed calls, by route."},
        MetricDescription{"lacewingmux_journal_commit_seconds", MetricType::Histogram,
                          "Time from appending an entry to its acknowledgement by the backup."},
        MetricDescription{"lacewingmux_load_reports_invalid_total", MetricType::Counter,
                          "Load reports of replicas that were not used because of their form."},
        MetricDescription{"lacewingmux_open_requests", MetricType::Gauge,
                          "Requests of callers that have no answer yet."},
        MetricDescription{"lacewingmux_platform_calls_over_budget_total", MetricType::Counter,
                          "Calls to the store that the budget of this VM refused."},
        MetricDescription{"lacewingmux_platform_calls_total", MetricType::Counter,
                          "Calls to the store, by kind and outcome."},
        MetricDescription{"lacewingmux_platform_outage_calls_total", MetricType::Counter,
                          "Calls to the store while it was unreachable for this VM, by outcome."},
        MetricDescription{"lacewingmux_program_expected_wait_seconds", MetricType::Histogram,
                          "Wait that load reports predict for the first turns of programs."},
        MetricDescription{"lacewingmux_program_refusals_total", MetricType::Counter,
                          "Refusals by the owners of programs, by team and kind."},
        MetricDescription{"lacewingmux_program_rejections_total", MetricType::Counter,
                          "First turns rejected because their program could not end in time."},
        MetricDescription{"lacewingmux_programs_ended_total", MetricType::Counter,
                          "Programs that ended, by team and reason."},
        MetricDescription{"lacewingmux_queue_seconds", MetricType::Histogram,
                          "Time that calls waited for a replica, by route."},
        MetricDescription{
                "lacewingmux_records_awaited_seconds", MetricType::Gauge,
                "Time for which a records VM has been silent without losing its place, as its "
                "disk may have the only copy of a record, by VM; 0 once it has ended."},
        MetricDescription{"lacewingmux_records_joining_seconds", MetricType::Gauge,
                          "Time since this records VM began to copy its group's records without "
                          "having become synced; 0 while it is synced or a standby."},
        MetricDescription{"lacewingmux_records_kept", MetricType::Gauge,
                          "Records on this records VM that somebody may still ask for."},
        MetricDescription{"lacewingmux_refusals_total", MetricType::Counter,
                          "Refusals at the front, by kind."},
        MetricDescription{"lacewingmux_replica_answer_seconds", MetricType::Histogram,
                          "Time from sending a plain call to a replica to its whole answer."},
        MetricDescription{"lacewingmux_replica_attempts_total", MetricType::Counter,
                          "Attempts of calls at replicas, by outcome."},
        MetricDescription{"lacewingmux_replica_crashes_total", MetricType::Counter,
                          "Crashes of backend servers that a call coincided with, by route."},
        MetricDescription{"lacewingmux_replica_duration_ratio", MetricType::Histogram,
                          "Learned durations of replicas as multiples of their service's median, "
                          "by work."},
        MetricDescription{"lacewingmux_replicas_learned", MetricType::Gauge,
                          "Replicas whose durations of work this VM has learned."},
        MetricDescription{"lacewingmux_request_duration_seconds", MetricType::Histogram,
                          "Time from a caller's request to the end of its answer."},
        MetricDescription{"lacewingmux_request_priorities_total", MetricType::Counter,
                          "Requests sent to replicas with a priority, by priority."},
        MetricDescription{"lacewingmux_requests_total", MetricType::Counter,
                          "Requests of callers by team, route and status."},
        MetricDescription{"lacewingmux_run_seconds", MetricType::Histogram,
                          "Time that calls ran at a replica, by route."},
        MetricDescription{"lacewingmux_share_gifts_total", MetricType::Counter,
                          "Parts of a rate, burst or power cap given to another zone."},
        MetricDescription{"lacewingmux_slots_lost_total", MetricType::Counter,
                          "Slots that went on without the state of their last activation."},
        MetricDescription{"lacewingmux_tunnels_total", MetricType::Counter,
                          "Tunnels that other VMs requested, by whether they were accepted."},
        MetricDescription{"lacewingmux_view_changes_total", MetricType::Counter,
                          "Views of the own zone that were adopted."},
        MetricDescription{"lacewingmux_view_epoch", MetricType::Gauge,
                          "Epoch of the own zone's view."},
        MetricDescription{"lacewingmux_view_members", MetricType::Gauge,
                          "VMs in the own zone's view."},
        MetricDescription{"lacewingmux_zone_evacuated", MetricType::Gauge,
                          "1 while operators have the zone evacuated, 0 since it returned."},
        MetricDescription{
                "lacewingmux_zone_evacuation_revision", MetricType::Gauge,
                "Revision of the store in which the zone was last evacuated or returned."},
};

} // namespace

std::span<const MetricDescription> MetricsCatalogue::all() noexcept
{
    return catalogue;
}

const MetricDescription *MetricsCatalogue::find(const QString &name) noexcept
{
    const auto found = std::find_if(
            catalogue.begin(), catalogue.end(),
            [&name](const MetricDescription &entry) { return name == QLatin1String(entry.name); });
    return found == catalogue.end() ? nullptr : &*found;
}

} // namespace lacewingmux
