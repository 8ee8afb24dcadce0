#include "gypsumtrack/gateway/serving/serving_context.h"

namespace gypsumtrack::gateway {

ServingMetrics::ServingMetrics(telemetry::Registry& registry)
    : requests(registry.GetCounter("gypsumtrack_requests_total", "",
                                   "Callers' requests read.")),
      delivered(registry.GetCounter("gypsumtrack_delivered_total", "",
                                    "Endpoints' answers given to callers.")),
      refused(registry.GetCounter("gypsumtrack_refused_total", "",
                                  "Requests refused without being run.")),
      failed(registry.GetCounter("gypsumtrack_failed_total", "",
                                 "Requests that may have run and failed.")),
      aborted(registry.GetCounter("gypsumtrack_broken_off_total", "",
                                  "Responses cut after they began.")),
      disconnected_callers(
          registry.GetCounter("gypsumtrack_callers_left_total", "",
                              "Callers that left before their answer.")),
      attempts(registry.GetCounter("gypsumtrack_sends_total", "",
                                   "Requests and items sent to endpoints.")),
      resumed(registry.GetCounter("gypsumtrack_resumed_total", "",
                                  "Requests sent to a further endpoint.")),
      over_quota(registry.GetCounter("gypsumtrack_over_quota_total", "",
                                     "Requests beyond rate and burst.")),
      jobs_accepted(registry.GetCounter("gypsumtrack_jobs_accepted_total", "",
                                        "Batch jobs accepted.")),
      jobs_refused(registry.GetCounter("gypsumtrack_jobs_refused_total", "",
                                       "Batch jobs refused.")),
      items_listed(registry.GetCounter("gypsumtrack_items_listed_total", "",
                                       "Results of items listed.")),
      items_yielded(
          registry.GetCounter("gypsumtrack_items_yielded_total", "",
                              "Items broken off to make room for online.")),
      outputs_discarded(registry.GetCounter(
          "gypsumtrack_outputs_discarded_total", "",
          "Outputs of items that exceeded a limit and were run again.")),
      jobs_taken_over(registry.GetCounter("gypsumtrack_jobs_taken_over_total",
                                          "", "Jobs taken from lost daemons.")),
      crashed_runs(registry.GetCounter("gypsumtrack_crashed_runs_total", "",
                                       "Runs that an endpoint's crash ended.")),
      tunnelled(registry.GetCounter(
          "gypsumtrack_tunnelled_sends_total", "",
          "Requests and items sent to endpoints through a peer.")),
      second_tries(registry.GetCounter(
          "gypsumtrack_second_tries_total", "",
          "Requests taken from an endpoint that was late, to another one.")),
      quarantined(registry.GetCounter("gypsumtrack_quarantined_total", "",
                                      "Requests refused because they or a part "
                                      "of their prompt crash endpoints.")),
      handler_exceptions(registry.GetCounter(
          "gypsumtrack_handler_exceptions_total", "",
          "Connections closed because a handler threw an exception.")),
      first_byte(registry.GetHistogram(
          "gypsumtrack_first_event_seconds", "",
          "From a request to the first byte of its response's body.")),
      complete_response(
          registry.GetHistogram("gypsumtrack_whole_answer_seconds", "",
                                "From a request to its whole "
                                "response.")),
      job_acceptance(
          registry.GetHistogram("gypsumtrack_accept_job_seconds", "",
                                "From a submission to its answer.")) {}

}  // namespace gypsumtrack::gateway
