#ifndef GYPSUMTRACK_GATEWAY_SERVING_WIRE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_WIRE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/job_run.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// Hooks that translate a deployment's protocols with callers, endpoints and
/// operators from and to the types of this project. An adapter implements them.
/// They must be free of side effects and thread-safe.
namespace gypsumtrack::gateway {

/// Metadata of a caller's request, taken from its headers.
struct RequestMetadata {
  /// Empty if the request has none.
  std::string request_id;
  /// The caller's key; empty if the request has none.
  std::string key;
  /// How long the caller waits for the response, counted from the arrival of
  /// the request.
  std::optional<base::Duration> requested_timeout;
  /// Id of the last event of a stream that the caller has received.
  std::optional<std::uint64_t> after_event;
  /// Id of the request whose response began the stream that this request
  /// continues; empty if it continues none.
  std::string continued_request;
  /// Parts of the prompt that other requests may have as well, in order. The
  /// last part of a prompt is the request's own and isn't among them.
  std::vector<base::PromptPart> shared_parts;
};

/// Metadata sent to an endpoint in addition to the caller's own request.
struct ForwardingMetadata {
  /// The endpoint that the request is meant for.
  base::EndpointId endpoint;
  /// Empty if the request needs no key.
  base::Organisation organisation;
  /// Time until the deadline of the request.
  std::optional<base::Duration> time_left;
  /// Id of the event after which the endpoint resumes the stream.
  std::optional<std::uint64_t> after_event;
};

/// Metadata of an endpoint's response, taken from its head.
struct ResponseMetadata {
  /// The endpoint reports that it didn't run the request.
  bool not_run = false;
  /// Another endpoint uses the address now. It responded without running the
  /// request.
  bool wrong_endpoint = false;
  /// Whether the response carries the seal that endpoints add. A response
  /// without the seal doesn't come from an endpoint.
  bool has_seal = false;
  /// The endpoint reports that it shuts down soon and must get no new requests.
  bool leaving = false;
  /// The load that the endpoint reports.
  std::optional<policy::EndpointReport> report;
  /// The number of requests a second that the endpoint accepts from all daemons
  /// together, for as long as its responses say so.
  std::optional<double> rate_limit;
};

/// An item of a job as submitted.
struct SubmittedItem {
  /// Unique within the job.
  std::string id;
  /// Path and query of the request to an endpoint.
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /// Tokens of the prompt plus the maximum number of output tokens.
  std::uint64_t tokens = 0;
  /// As in `RequestMetadata`.
  std::vector<base::PromptPart> shared_parts;
};

/// A page of a job's results.
struct ResultPage {
  /// Number of items of the job.
  std::size_t total = 0;
  /// Position after the last result of the page.
  std::size_t next = 0;
  std::vector<policy::JobItemResult> results;
};

/// Kinds of requests about a job.
enum class JobRequestKind {
  kNone,      ///< not a request about a job
  kResults,   ///< reads a page of results
  kItemBody,  ///< reads the submitted body of an item
  kEnd,       ///< ends the job
};

/// A request about an existing job; its kind is kNone for all other requests.
struct JobRequest {
  JobRequestKind kind = JobRequestKind::kNone;
  base::JobId job;
  /// kResults: position of the first result to read.
  std::size_t from = 0;
  /// kResults: maximum time to wait for a result if there is none yet.
  base::Duration max_wait{0};
  /// kItemBody: id of the item.
  std::string item;
};

/// Hooks for the protocols with callers and endpoints.
struct Wire {
  /// Header of responses to callers that repeats the id of the request.
  std::string request_id_header;
  /// Path of this daemon's readiness check.
  std::string ready_path;
  /// Reads the metadata of a caller's request.
  std::function<RequestMetadata(const RequestHead&)> read_request;
  /// Whether the head of a response reports that the endpoint is draining.
  std::function<bool(const ResponseHead&)> reports_draining;
  /// Reads the metadata of an endpoint's response.
  std::function<ResponseMetadata(const ResponseHead&)> read_response;
  /// Headers of a caller's request as forwarded to an endpoint.
  std::function<std::vector<Header>(const RequestHead&,
                                    const ForwardingMetadata&)>
      endpoint_headers;
  /// Headers of the request that runs an item at an endpoint.
  std::function<std::vector<Header>(
      const SubmittedItem&, const std::string& host, const ForwardingMetadata&)>
      item_headers;
  /// Headers of an endpoint's response as forwarded to a caller.
  std::function<std::vector<Header>(const ResponseHead&)> caller_headers;
  /// Recognizes and parses requests about jobs.
  std::function<JobRequest(const RequestHead&)> read_job_request;
  /// Parses the body of a submission. Errors: kInvalid.
  std::function<base::Outcome<std::vector<SubmittedItem>>(std::string_view)>
      read_submission;
  /// Serializes a page of results as JSON.
  std::function<std::string(const ResultPage&)> write_results;
};

/// Tables of the store in which operators write the rules and endpoints
/// register, and the parsers of their rows. Daemons cache these rows.
struct StoreViewSource {
  std::string rules_table;
  /// Key of the rules' row.
  std::string rules_key;
  std::string endpoints_table;
  /// Parses the rules' row. Errors: kInvalid.
  std::function<base::Outcome<policy::ServingRules>(std::string_view value)>
      read_rules;
  /// Returns the failure domain whose evacuation a row of the rules' table
  /// requests while it exists; none if the key is of another kind.
  std::function<std::optional<base::FailureDomain>(const std::string& key)>
      read_evacuation;
  /// Parses a row of the endpoints' table that was read at `read_at`. Errors:
  /// kInvalid; the row then registers no endpoint.
  std::function<base::Outcome<policy::EndpointEntry>(
      const std::string& key, std::string_view value, base::Instant read_at)>
      read_endpoint;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_WIRE_H_
