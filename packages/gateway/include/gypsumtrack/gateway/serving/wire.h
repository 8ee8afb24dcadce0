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

/// What callers, endpoints and operators of a deployment say, in our own types.
/// An adapter fills in the hooks; they are pure and thread-safe.
namespace gypsumtrack::gateway {

/// What a caller's request says beyond path and body.
struct CallerFacts {
  std::string request_id;
  /// Empty if there is none.
  std::string key;
  /// How long the caller will wait from now on.
  std::optional<base::Duration> patience;
  /// The last event of a stream that the caller has.
  std::optional<std::uint64_t> after_event;
};

/// What is said to an endpoint beside the caller's own request.
struct Forwarding {
  base::EndpointId endpoint;
  /// Empty if the request needs no key.
  base::Organisation organisation;
  std::optional<base::Duration> time_left;
  std::optional<std::uint64_t> after_event;
};

/// What the head of an endpoint's answer says.
struct AnswerFacts {
  /// The endpoint says that it didn't run the request.
  bool not_run = false;
  /// Another endpoint has the address; it didn't run the request.
  bool wrong_endpoint = false;
  /// The answer bears the endpoint's mark.
  bool genuine = false;
  std::optional<policy::EndpointReport> report;
};

/// An item as submitted.
struct SubmittedItem {
  std::string id;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  std::uint64_t tokens = 0;
};

/// A page of a job's results.
struct ResultPage {
  std::size_t total = 0;
  std::size_t next = 0;
  std::vector<policy::JobItemResult> results;
};

enum class BatchCallKind { kNone, kResults, kItemBody, kEnd };

/// A call about a job that exists; kNone for all other requests.
struct BatchCall {
  BatchCallKind kind = BatchCallKind::kNone;
  base::JobId job;
  /// kResults: the position from which to read.
  std::size_t from = 0;
  /// kResults: how long the caller lets the call wait for a result.
  base::Duration patience{0};
  /// kItemBody.
  std::string item;
};

struct Wire {
  std::string request_id_header;
  std::string ready_path;
  std::function<CallerFacts(const RequestHead&)> read_request;
  /// Whether the head of an endpoint's answer says that the endpoint leaves.
  std::function<bool(const ResponseHead&)> says_leaving;
  std::function<AnswerFacts(const ResponseHead&)> read_answer;
  /// A caller's headers as they go to an endpoint.
  std::function<std::vector<Header>(const RequestHead&, const Forwarding&)>
      endpoint_headers;
  /// An item's headers as they go to an endpoint.
  std::function<std::vector<Header>(const SubmittedItem&,
                                    const std::string& host, const Forwarding&)>
      item_headers;
  /// An endpoint's headers as they go to a caller.
  std::function<std::vector<Header>(const ResponseHead&)> caller_headers;
  std::function<BatchCall(const RequestHead&)> read_batch_call;
  /// Errors: kInvalid.
  std::function<base::Outcome<std::vector<SubmittedItem>>(std::string_view)>
      read_submission;
  std::function<std::string(const ResultPage&)> write_results;
};

/// Where operators and endpoints write what a daemon believes.
struct StoreViewSource {
  std::string rules_table;
  std::string rules_key;
  std::string endpoints_table;
  /// Errors: kInvalid.
  std::function<base::Outcome<policy::ServingRules>(std::string_view value)>
      read_rules;
  /// Errors: kInvalid; the entry then names no endpoint.
  std::function<base::Outcome<policy::EndpointEntry>(const std::string& key,
                                                     std::string_view value)>
      read_endpoint;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_WIRE_H_
