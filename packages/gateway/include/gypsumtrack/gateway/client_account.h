#ifndef GYPSUMTRACK_GATEWAY_CLIENT_ACCOUNT_H_
#define GYPSUMTRACK_GATEWAY_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "gypsumtrack/policy/client_memory.h"

/// The account of a process's memory for clients, shared by the connections of
/// all its servers.
namespace gypsumtrack::gateway {

/// Charges connections and cuts off those that stall while others need room.
/// Thread-safe.
class ClientAccount {
 public:
  explicit ClientAccount(policy::ClientMemoryOptions options);

  /// What one connection holds; the destructor gives it back. Thread-safe.
  class Holder {
   public:
    /// `cut_off` closes the connection; it may be called on any thread until
    /// the destructor returns. A null account charges nothing.
    Holder(std::shared_ptr<ClientAccount> account,
           std::function<void()> cut_off);
    ~Holder();
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Returns whether the connection may hold that much more, and charges it
    /// if so. If not, connections that have stalled are cut off; their room is
    /// free a moment later.
    bool TryGrow(std::uint64_t bytes, base::Instant now);
    /// Charges for bytes that are held in any case.
    void Grow(std::uint64_t bytes, base::Instant now);
    /// Gives all back.
    void Release();
    /// As in policy::ClientMemory.
    void OnClientAwaited(base::Instant now);
    void OnClientDone();

   private:
    std::shared_ptr<ClientAccount> account;
    policy::ClientMemory::HolderId id = 0;
  };

  std::uint64_t held_bytes() const;   // NOLINT
  std::uint64_t limit_bytes() const;  // NOLINT
  /// Connections cut off since the start.
  std::uint64_t cut_off_count() const;  // NOLINT

 private:
  /// Precondition: the mutex is held.
  void CutOffStalled(base::Instant now);

  mutable std::mutex mutex;
  policy::ClientMemory memory;
  std::unordered_map<policy::ClientMemory::HolderId, std::function<void()>>
      cut_offs;
  std::uint64_t cut_off_total = 0;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_CLIENT_ACCOUNT_H_
