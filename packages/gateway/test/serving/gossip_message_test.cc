#include "gypsumtrack/gateway/serving/gossip_message.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::gateway {
namespace {

GossipMessage MakeMessage(std::uint32_t entry_count) {
  GossipMessage message;
  message.sender = {"vm-7", 1234567890123};
  message.sequence = 42;
  message.waiting_items = 300;
  for (std::uint32_t i = 0; i < entry_count; ++i) {
    message.loads.push_back({i * 7919, {i % 9, i % 5}});
    message.admitted.emplace_back(i * 104729, i * 1000);
    if (i % 10 != 0) continue;
    auto& limit = message.limits.emplace_back();
    limit = {i * 7919, 1700000000000U + i, 2.7, std::chrono::milliseconds(i)};
    if (i % 20 == 0) limit.per_second = std::nullopt;
  }
  return message;
}

TEST_CASE("decoded gossip messages equal the encoded ones") {
  SECTION("a single message") {
    auto message = MakeMessage(18);
    message.is_full = true;
    const auto datagrams = EncodeGossip({message});
    REQUIRE(datagrams.size() == 1);
    CHECK(datagrams.front().size() < 350);
    CHECK(DecodeGossip(datagrams.front()) == std::vector{message});
  }
  SECTION("several messages in one datagram") {
    std::vector<GossipMessage> messages{MakeMessage(5), MakeMessage(7)};
    messages.back().sender.name = "vm-8";
    messages.back().forwarded = true;
    messages.front().to_relay = true;
    messages.front().to_other_domains = true;
    messages.front().holds_lease = true;
    messages.front().wants_full = true;
    messages.front().opens_tunnels = true;
    const auto datagrams = EncodeGossip(messages);
    REQUIRE(datagrams.size() == 1);
    CHECK(DecodeGossip(datagrams.front()) == messages);
  }
  SECTION("more messages than fit into one datagram") {
    const std::vector<GossipMessage> messages(10, MakeMessage(40));
    std::vector<GossipMessage> received;
    for (const auto& datagram : EncodeGossip(messages)) {
      CHECK(datagram.size() <= kMaxDatagramBytes);
      const auto decoded = DecodeGossip(datagram);
      REQUIRE(decoded);
      received.insert(received.end(), decoded->begin(), decoded->end());
    }
    CHECK(received == messages);
  }
  SECTION("a message too large for a datagram loses loads but no counts") {
    const auto datagrams = EncodeGossip({MakeMessage(150)});
    REQUIRE(datagrams.size() == 1);
    CHECK(datagrams.front().size() <= kMaxDatagramBytes);
    const auto messages = DecodeGossip(datagrams.front());
    REQUIRE(messages);
    CHECK(messages->front().admitted.size() == 150);
    CHECK(messages->front().loads.size() < 150);
  }
  rc::prop("truncated datagrams fail, corrupted ones do no harm", [] {
    auto bytes = EncodeGossip({MakeMessage(*rc::gen::inRange(0, 20))}).front();
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>()) {
      const auto decoded = DecodeGossip(bytes.substr(0, position));
      RC_ASSERT(!decoded || decoded->empty());
    } else {
      bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
      static_cast<void>(DecodeGossip(bytes));
    }
  });
}

}  // namespace
}  // namespace gypsumtrack::gateway
