#ifndef GYPSUMTRACK_POLICY_CLIENT_MEMORY_H_
#define GYPSUMTRACK_POLICY_CLIENT_MEMORY_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "gypsumtrack/base/time.h"

/// The memory that a process holds for clients it doesn't control: heads and
/// bodies of requests, what is made of them, and answers that clients don't
/// read. Decides which client may hold more, and which one is cut off when
/// there is no room.
namespace gypsumtrack::policy {

/// Limits of the account.
struct ClientMemoryOptions {
  /// Bytes that all clients together may hold.
  std::uint64_t limit_bytes = 0;
  /// Part of the limit that clients may fill who hold more than
  /// `small_bytes` each. The rest is kept for small requests.
  double large_fraction = 0.75;
  std::uint64_t small_bytes = 32ULL * 1024;
  /// A client that is awaited for longer than this has stalled. One at an
  /// ordinary pace sends or reads several times in it.
  base::Duration stall_time = std::chrono::milliseconds(1000);
};

/// The account of one process. Not thread-safe.
class ClientMemory {
 public:
  using HolderId = std::uint64_t;

  explicit ClientMemory(ClientMemoryOptions options);

  // Commands.

  /// Adds a holder that holds nothing.
  HolderId Add();
  /// Removes a holder and what it holds.
  void Remove(HolderId id);
  /// Charges the holder if there is room for as much; returns whether there is.
  bool TryGrow(HolderId id, std::uint64_t bytes);
  /// Charges the holder for bytes that it has to hold in any case.
  void Grow(HolderId id, std::uint64_t bytes);
  /// Takes back all that the holder was charged for.
  void Release(HolderId id);
  /// Records that the holder waits for its client to send or read from now on.
  /// To be called again at each progress.
  void OnClientAwaited(HolderId id, base::Instant now);
  /// Records that the holder doesn't wait for its client any more.
  void OnClientDone(HolderId id);
  /// Returns the holder to cut off in favour of others, if any: the one that
  /// has stalled with the most bytes for the longest time. It isn't returned
  /// again.
  std::optional<HolderId> TakeStalled(base::Instant now);

  // Queries.

  /// Whether clients hold more than the limit.
  bool is_full() const {  // NOLINT
    return this->held > this->options.limit_bytes;
  }
  std::uint64_t held_bytes() const { return this->held; }  // NOLINT
  std::uint64_t limit_bytes() const {                      // NOLINT
    return this->options.limit_bytes;
  }

 private:
  struct Holder {
    std::uint64_t bytes = 0;
    /// None while the client isn't awaited.
    std::optional<base::Instant> awaited_since;
    bool cut_off = false;
  };

  ClientMemoryOptions options;
  std::uint64_t held = 0;
  HolderId last_id = 0;
  std::unordered_map<HolderId, Holder> holders;
};

/// Returns about how many bytes the values of a JSON text take when parsed: it
/// counts the characters that begin or separate values, of which short ones
/// take many times their text. Thread-safe.
std::uint64_t EstimateParsedBytes(std::string_view json);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CLIENT_MEMORY_H_
