#include "gypsumtrack/gateway/peer_gather.h"

#include <memory>
#include <mutex>
#include <utility>

#include "gypsumtrack/gateway/await.h"

namespace gypsumtrack::gateway {
namespace {

using Answers = std::vector<PeerAnswer>;

/// Collects replies from any thread and calls `done` after the last.
struct Gathering {
  std::mutex mutex;
  Answers answers;
  std::size_t missing = 0;
  std::function<void(Answers)> done;

  void Take(const policy::PeerVm& peer, base::Outcome<Json::Value> reply) {
    std::unique_lock lock(this->mutex);
    this->answers.push_back({peer, std::move(reply)});
    if (--this->missing != 0) return;
    lock.unlock();
    this->done(std::move(this->answers));
  }
};

}  // namespace

boost::asio::awaitable<Answers> GatherPeers(const Runtime& runtime,
                                            const policy::FleetView& view,
                                            std::string method,
                                            Json::Value params,
                                            base::Instant deadline) {
  std::vector<policy::PeerVm> asked;
  for (const auto& peer : view.peers) {
    if (peer.state != policy::PeerState::kLost) asked.push_back(peer);
  }
  if (asked.empty()) co_return Answers{};
  co_return co_await AwaitHandler<Answers>(
      [&](std::function<void(Answers)> done) {
        auto gathering = std::make_shared<Gathering>();
        gathering->missing = asked.size();
        gathering->done = std::move(done);
        for (const auto& peer : asked) {
          runtime.peers.call(peer.address, method, params, deadline,
                             [gathering, peer](auto reply) {
                               gathering->Take(peer, std::move(reply));
                             });
        }
      });
}

}  // namespace gypsumtrack::gateway
