#ifndef GYPSUMTRACK_POLICY_SERVING_TUNNEL_PEERS_H_
#define GYPSUMTRACK_POLICY_SERVING_TUNNEL_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Chooses the peer through which a daemon that is cut from all endpoints opens
/// its connections to them.
namespace gypsumtrack::policy {

/// A peer that knows how to open tunnels.
struct TunnelPeer {
  std::string name;
  base::Location location;
  /// Processor cores that it may use.
  double cores = 1;
};

/// Intervals of the choice.
struct TunnelPeersOptions {
  /// Time for which a peer's offer counts after its last message.
  base::Duration offer_max_age = std::chrono::milliseconds(1500);
  /// Time for which a peer that failed isn't chosen, and one that is in doubt
  /// only if no other offers.
  base::Duration backoff = std::chrono::milliseconds(1000);
  /// Time for which the chosen peer is kept, so that connections through it are
  /// used again.
  base::Duration choice_period = std::chrono::milliseconds(1000);
};

/// The peers of one daemon. Not thread-safe.
class TunnelPeers {
 public:
  explicit TunnelPeers(TunnelPeersOptions options);

  // Commands.

  /// Replaces the peers that know how to open tunnels.
  void SetPeers(const std::vector<TunnelPeer>& peers);
  /// Records what a peer says of itself: whether it opens tunnels for others
  /// now, and its requests in progress. Returns whether it has just ceased to.
  bool OnOffer(const std::string& name, bool opens_tunnels,
               std::uint32_t requests, base::Instant now);
  /// Records that the peer couldn't be reached or opens no tunnels.
  void OnFailed(const std::string& name, base::Instant now);
  /// Records that the peer couldn't connect to an endpoint in time, or that a
  /// tunnel through it fell silent. The cause may be the endpoint.
  void OnDoubted(const std::string& name, base::Instant now);
  /// Returns the peer to use now, or none if no peer opens tunnels. Nearer
  /// peers go first: those of the own failure domain, then of the region. Among
  /// equally near ones, the less busy of two random ones is taken and kept for
  /// a while: daemons that are cut at the same moment so choose different ones.
  std::optional<TunnelPeer> Choose(const base::Location& from,
                                   std::uint64_t random, base::Instant now);

  // Queries.

  /// Returns the number of peers that open tunnels now.
  std::size_t CountUsable(base::Instant now) const;

 private:
  struct State {
    TunnelPeer peer;
    bool opens_tunnels = false;
    std::uint32_t requests = 0;
    base::Instant heard_at{};
    base::Instant avoided_until{};
    base::Instant doubted_until{};
  };

  bool IsUsable(const State& state, base::Instant now) const;
  /// Returns the usable peers that are nearest, of those that aren't in doubt
  /// if there are any.
  std::vector<const State*> Nearest(const base::Location& from,
                                    base::Instant now) const;

  TunnelPeersOptions options;
  /// Keyed by VM name.
  std::map<std::string, State> states;
  /// The peer chosen last, until `chosen_until`.
  std::string chosen;
  base::Instant chosen_until{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_TUNNEL_PEERS_H_
