#ifndef GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_
#define GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Which endpoint a request goes to: what each is known to carry, which are
/// suspect, and what is left for batch.
namespace gypsumtrack::policy {

/// An endpoint as it describes itself.
struct EndpointEntry {
  base::EndpointId id;
  /// Differs for each start of an endpoint under the same id.
  std::uint64_t incarnation = 0;
  /// `ip:port`.
  std::string address;
  base::Place location;
  base::Service service;
  /// Requests that it works on at once.
  std::uint32_t slots = 1;
  /// It is leaving and takes nothing new.
  bool draining = false;
};

enum class WorkKind { kOnline, kBatch };

/// Requests under way at an endpoint.
struct EndpointLoad {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return this->online + this->batch; }  // NOLINT
  EndpointLoad& operator+=(const EndpointLoad& other) {
    this->online += other.online;
    this->batch += other.batch;
    return *this;
  }
  /// `other` is a part of it.
  EndpointLoad& operator-=(const EndpointLoad& other) {
    this->online -= other.online;
    this->batch -= other.batch;
    return *this;
  }
  auto operator<=>(const EndpointLoad&) const = default;
};

using EndpointLoads = std::map<base::EndpointId, EndpointLoad>;

/// An endpoint's own count, as of an answer of its.
struct EndpointReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// What an exchange showed of its endpoint.
enum class AttemptResult {
  kSuccess,        ///< a whole answer
  kBusy,           ///< it refused for want of room
  kUnreachable,    ///< no connection, or silence
  kBadResponse,    ///< an answer broke off or was no answer
  kWrongEndpoint,  ///< another endpoint has the address
  kUnknown,        ///< nothing was learned, such as when the caller left
};

struct EndpointRegistryOptions {
  /// Requests beyond its slots that an endpoint may hold: one place comes free
  /// about every eighth of a request's time, so two still begin in time.
  std::uint32_t queue_allowance = 2;
  /// Part of a service's places that online requests take in a top of their
  /// load; items then keep a place free before one is asked for.
  double top_share = 0.45;
  /// Added wait of a request for each one that stands before it in a queue.
  base::Duration queue_step = std::chrono::milliseconds(90);
  /// Slower steps for each request beside it.
  base::Duration neighbour_step = std::chrono::milliseconds(3);
  base::Duration cross_domain = std::chrono::milliseconds(8);
  base::Duration cross_region = std::chrono::milliseconds(42);
  /// Rather a few more neighbours than a new connection: endpoints hold only so
  /// many, and a slot stands still while one is made.
  base::Duration new_connection = std::chrono::milliseconds(10);
  /// First time that a failing endpoint is left alone; doubles up to the last.
  base::Duration first_pause = std::chrono::milliseconds(500);
  base::Duration last_pause = std::chrono::seconds(4);
  /// Time that an endpoint which refused for want of room is left alone.
  base::Duration busy_pause = std::chrono::milliseconds(60);
  /// Time for which a peer's counts hold without a new message.
  base::Duration peer_counts_hold = std::chrono::milliseconds(1500);
  /// Time for which an endpoint's own count is used.
  base::Duration report_hold = std::chrono::milliseconds(400);
  /// After an outage of the platform, time in which entries that are missing
  /// may come back.
  base::Duration lapse_hold = std::chrono::milliseconds(2000);
};

/// What is looked for.
struct EndpointQuery {
  base::Service service;
  base::Place origin;
  /// Endpoints that this request was at already.
  std::set<base::EndpointId> tried;
  /// Any number; spreads equal choices.
  std::uint64_t random_value = 0;
  /// Whether a connection to an address stands idle; without the hook all do.
  std::function<bool(const std::string& address)> has_idle_connection;
};

enum class ChoiceStatus {
  kChosen,
  kNoCapacity,  ///< each endpoint that serves it is full
  kNoEndpoint,  ///< none serves it
};

struct EndpointChoice {
  ChoiceStatus status = ChoiceStatus::kNoEndpoint;
  EndpointEntry endpoint;
  /// Load that the choice went by.
  std::uint32_t known_load = 0;
};

/// Not thread-safe; used on one thread.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(EndpointRegistryOptions options);

  // Commands.

  /// Replaces all entries. `platform_back_at` is when the platform was reached
  /// again after an outage; entries that are missing soon after it are kept for
  /// a while, since an outage makes entries of living endpoints lapse.
  void ReplaceEntries(std::vector<EndpointEntry> entries,
                      base::Instant platform_back_at, base::Instant now);
  /// Drops entries and peers' counts that were kept beyond their time; to be
  /// called several times a second. Returns the endpoints dropped.
  std::vector<base::EndpointId> RemoveExpired(base::Instant now);
  /// A peer's own requests under way, all of them.
  void SetPeerLoads(const std::string& peer, EndpointLoads loads,
                    base::Instant now);
  void OnAttemptStarted(const base::EndpointId& id, WorkKind kind);
  void OnAttemptEnded(const base::EndpointId& id, WorkKind kind,
                      AttemptResult verdict, base::Instant now);
  void OnReport(const base::EndpointId& id, const EndpointReport& report,
                base::Instant now);

  // Queries.

  /// The endpoint at which an online request begins soonest.
  EndpointChoice ChooseOnline(const EndpointQuery& query,
                              base::Instant now) const;
  /// One of the best endpoints at which so many places stay free beside the
  /// request, picked by dice: daemons that have items at the same moment, and
  /// know the same, would else all go to the same one.
  EndpointChoice ChooseBatch(const EndpointQuery& query,
                             std::uint32_t places_to_leave,
                             base::Instant now) const;
  /// Places for items in the whole service when so many stay free at each
  /// endpoint.
  std::uint32_t CountFreeSlots(const base::Service& service,
                               std::uint32_t places_to_leave,
                               base::Instant now) const;
  /// How many own batch requests should leave the endpoint for online ones. A
  /// part of one, of what several daemons have there, is decided by dice: else
  /// each of them would give way for the same request.
  std::uint32_t BatchToYield(const base::EndpointId& id, std::uint64_t dice,
                             base::Instant now) const;
  /// Own requests under way, without empty entries.
  EndpointLoads OwnLoads() const;
  /// All daemons' load as known here.
  EndpointLoad Load(const base::EndpointId& id, base::Instant now) const;
  /// Whether the endpoint is known and takes new requests.
  bool AcceptsRequests(const base::EndpointId& id,
                       std::uint64_t incarnation) const;
  /// Part of the service's places that online requests take; above 1 if they
  /// wait.
  double OnlineShare(const base::Service& service, base::Instant now) const;
  std::size_t size() const { return this->states.size(); }  // NOLINT

 private:
  struct State {
    EndpointEntry entry;
    EndpointLoad own;
    /// Sum of all peers' loads.
    EndpointLoad peers;
    /// When a missing entry is dropped; kNever while it is listed.
    base::Instant lapses_at = base::kNever;
    std::uint32_t failures = 0;
    base::Instant avoided_until{};
    base::Instant busy_until{};
    EndpointReport report;
    base::Instant reported_at{};
    /// Own load when the report came.
    std::uint32_t own_at_report = 0;
  };
  struct PeerLoads {
    EndpointLoads loads;
    base::Instant heard_at{};
  };

  struct Priced {
    base::Duration cost{0};
    const State* state = nullptr;
  };

  void OnFailure(State& state, base::Instant now) const;
  /// Picks one of those that cost at most `spread` more than the best.
  void Pick(std::vector<Priced>& open, const EndpointQuery& query,
            base::Duration spread, base::Instant now,
            EndpointChoice& choice) const;
  /// An endpoint that has just started.
  void Reset(State& state, const base::EndpointId& id) const;
  /// Takes a peer's loads into the sums, or out of them.
  void AddLoads(const EndpointLoads& loads);
  void SubtractLoads(const EndpointLoads& loads);
  void DropSilentPeers(base::Instant now);
  EndpointLoad LoadOf(const State& state, base::Instant now) const;
  /// Without regard to suspicion.
  bool Fits(const State& state, const EndpointQuery& query) const;
  bool Avoided(const State& state, base::Instant now) const;
  base::Duration Distance(const base::Place& from, const base::Place& to) const;
  base::Duration Cost(const State& state, const EndpointQuery& query,
                      base::Instant now) const;
  std::vector<const State*> Candidates(const EndpointQuery& query,
                                       base::Instant now) const;

  EndpointRegistryOptions options;
  std::map<base::EndpointId, State> states;
  std::map<std::string, PeerLoads> peers;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_
