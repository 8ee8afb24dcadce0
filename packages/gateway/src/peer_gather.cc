#include "gypsumtrack/gateway/peer_gather.h"

#include <memory>
#include <mutex>
#include <utility>

#include "gypsumtrack/gateway/await.h"

namespace gypsumtrack::gateway {
namespace {

using PeerReplies = std::vector<PeerReply>;

/// Collects the replies and calls `done` after the last one. `Add` is
/// thread-safe.
struct PendingReplies {
  std::mutex mutex;
  PeerReplies replies;
  std::size_t outstanding = 0;
  std::function<void(PeerReplies)> done;

  void Add(const policy::PeerVm& peer, base::Outcome<Json::Value> reply) {
    std::unique_lock lock(this->mutex);
    this->replies.push_back({peer, std::move(reply)});
    if (--this->outstanding != 0) return;
    lock.unlock();
    this->done(std::move(this->replies));
  }
};

}  // namespace

boost::asio::awaitable<PeerReplies> GatherPeers(const Runtime& runtime,
                                                const policy::FleetView& view,
                                                std::string method,
                                                Json::Value params,
                                                base::Instant deadline) {
  std::vector<policy::PeerVm> recipients;
  for (const auto& peer : view.peers) {
    if (peer.state != policy::PeerState::kLost) recipients.push_back(peer);
  }
  if (recipients.empty()) co_return PeerReplies{};
  co_return co_await AwaitHandler<PeerReplies>(
      [&](std::function<void(PeerReplies)> done) {
        auto pending = std::make_shared<PendingReplies>();
        pending->outstanding = recipients.size();
        pending->done = std::move(done);
        for (const auto& peer : recipients) {
          runtime.peers.call(peer.address, method, params, deadline,
                             [pending, peer](auto reply) {
                               pending->Add(peer, std::move(reply));
                             });
        }
      });
}

}  // namespace gypsumtrack::gateway
