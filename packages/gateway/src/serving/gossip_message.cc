#include "gypsumtrack/gateway/serving/gossip_message.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::gateway {
namespace {

/// First bytes of a datagram; identifies the version of the encoding.
constexpr std::string_view kMagic = "GN5";
/// Encoded size of an entry of `loads`, of `admitted` and of `limits`.
constexpr std::size_t kLoadBytes = 6;
constexpr std::size_t kAdmittedBytes = 8;
constexpr std::size_t kLimitBytes = 22;
/// Encoded instead of a rate for a limit that has ended.
constexpr double kNoLimit = -1;
/// Longer VM names are truncated.
constexpr std::size_t kMaxNameBytes = 200;

/// Appends an integer in little-endian order.
template <typename Number>
void Append(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>((number >> (8 * i)) & 0xFF);
  }
}

/// Reads from the front of a datagram. Once bytes are missing, all further
/// reads return zeros or nothing.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest(bytes) {}

  template <typename Number>
  Number Read() {
    std::uint64_t number = 0;
    const auto bytes = this->ReadBytes(sizeof(Number));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      const std::uint64_t byte = static_cast<unsigned char>(bytes[i]);
      number |= byte << (8 * i);
    }
    return static_cast<Number>(number);
  }

  std::string_view ReadBytes(std::size_t count) {
    if (this->rest.size() < count) {
      this->truncated = true;
      this->rest = {};
      return {};
    }
    const auto bytes = this->rest.substr(0, count);
    this->rest.remove_prefix(count);
    return bytes;
  }

  /// Whether bytes were missing.
  bool failed() const { return this->truncated; }     // NOLINT
  bool at_end() const { return this->rest.empty(); }  // NOLINT

 private:
  std::string_view rest;
  bool truncated = false;
};

/// Flags of a message.
constexpr std::uint8_t kForwardedFlag = 1;
constexpr std::uint8_t kFullFlag = 2;
constexpr std::uint8_t kRelayFlag = 4;
constexpr std::uint8_t kOtherDomainsFlag = 8;
constexpr std::uint8_t kHoldsLeaseFlag = 16;
constexpr std::uint8_t kWantsFullFlag = 32;
/// Daemons of earlier releases neither set nor read it.
constexpr std::uint8_t kOpensTunnelsFlag = 64;

std::uint8_t FlagsOf(const GossipMessage& message) {
  std::uint8_t flags = 0;
  if (message.forwarded) flags |= kForwardedFlag;
  if (message.is_full) flags |= kFullFlag;
  if (message.to_relay) flags |= kRelayFlag;
  if (message.to_other_domains) flags |= kOtherDomainsFlag;
  if (message.holds_lease) flags |= kHoldsLeaseFlag;
  if (message.wants_full) flags |= kWantsFullFlag;
  if (message.opens_tunnels) flags |= kOpensTunnelsFlag;
  return flags;
}

void ApplyFlags(std::uint8_t flags, GossipMessage& message) {
  message.forwarded = (flags & kForwardedFlag) != 0;
  message.is_full = (flags & kFullFlag) != 0;
  message.to_relay = (flags & kRelayFlag) != 0;
  message.to_other_domains = (flags & kOtherDomainsFlag) != 0;
  message.holds_lease = (flags & kHoldsLeaseFlag) != 0;
  message.wants_full = (flags & kWantsFullFlag) != 0;
  message.opens_tunnels = (flags & kOpensTunnelsFlag) != 0;
}

/// A daemon that puts more load than this on an endpoint counts as putting this
/// much.
std::uint8_t SaturatedByte(std::uint32_t number) {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint8_t>::max();
  return static_cast<std::uint8_t>(std::min(number, kMax));
}

/// Larger ages are encoded as the largest possible one.
std::uint16_t SaturatedAge(std::chrono::milliseconds age) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(age.count(), 0, kMax));
}

void AppendLimit(std::string& bytes, const LimitEntry& limit) {
  Append(bytes, limit.endpoint);
  Append(bytes, limit.incarnation);
  Append(bytes,
         std::bit_cast<std::uint64_t>(limit.per_second.value_or(kNoLimit)));
  Append(bytes, SaturatedAge(limit.age));
}

LimitEntry ReadLimit(Reader& reader) {
  LimitEntry limit;
  limit.endpoint = reader.Read<NameHash>();
  limit.incarnation = reader.Read<std::uint64_t>();
  const auto rate = std::bit_cast<double>(reader.Read<std::uint64_t>());
  if (std::isfinite(rate) && rate >= 0) limit.per_second = rate;
  limit.age = std::chrono::milliseconds(reader.Read<std::uint16_t>());
  return limit;
}

std::string EncodeMessage(const GossipMessage& message) {
  constexpr auto kMaxMessageBytes = kMaxDatagramBytes - kMagic.size();
  std::string bytes;
  const std::string_view full_name = message.sender.name;
  const auto name = full_name.substr(0, kMaxNameBytes);
  Append(bytes, static_cast<std::uint8_t>(name.size()));
  bytes += name;
  Append(bytes, message.sender.incarnation);
  Append(bytes, message.sequence);
  Append(bytes, FlagsOf(message));
  Append(bytes, message.waiting_items);
  // Counts are encoded first, so that loads are left out if the message is too
  // large: limits depend on the counts, while loads only improve the choice of
  // endpoints.
  const auto header_bytes = bytes.size() + 3 * sizeof(std::uint16_t);
  const auto admitted_count =
      std::min(message.admitted.size(),
               (kMaxMessageBytes - header_bytes) / kAdmittedBytes);
  Append(bytes, static_cast<std::uint16_t>(admitted_count));
  auto admitted = message.admitted.begin();
  for (std::size_t i = 0; i < admitted_count; ++i, ++admitted) {
    Append(bytes, admitted->first);
    Append(bytes, admitted->second);
  }
  const auto max_limits =
      (kMaxMessageBytes - bytes.size() - 2 * sizeof(std::uint16_t)) /
      kLimitBytes;
  const auto limit_count = std::min(message.limits.size(), max_limits);
  Append(bytes, static_cast<std::uint16_t>(limit_count));
  for (std::size_t i = 0; i < limit_count; ++i)
    AppendLimit(bytes, message.limits[i]);
  const auto max_loads =
      (kMaxMessageBytes - bytes.size() - sizeof(std::uint16_t)) / kLoadBytes;
  const auto load_count = std::min(message.loads.size(), max_loads);
  Append(bytes, static_cast<std::uint16_t>(load_count));
  auto load = message.loads.begin();
  for (std::size_t i = 0; i < load_count; ++i, ++load) {
    Append(bytes, load->first);
    Append(bytes, SaturatedByte(load->second.online));
    Append(bytes, SaturatedByte(load->second.batch));
  }
  return bytes;
}

GossipMessage ReadMessage(Reader& reader) {
  GossipMessage message;
  const auto name_size = reader.Read<std::uint8_t>();
  message.sender.name = std::string(reader.ReadBytes(name_size));
  message.sender.incarnation = reader.Read<std::uint64_t>();
  message.sequence = reader.Read<std::uint32_t>();
  ApplyFlags(reader.Read<std::uint8_t>(), message);
  message.waiting_items = reader.Read<std::uint16_t>();
  const auto admitted_count = reader.Read<std::uint16_t>();
  for (std::size_t i = 0; i < admitted_count && !reader.failed(); ++i) {
    const auto name_hash = reader.Read<NameHash>();
    message.admitted.emplace_back(name_hash, reader.Read<std::uint32_t>());
  }
  const auto limit_count = reader.Read<std::uint16_t>();
  for (std::size_t i = 0; i < limit_count && !reader.failed(); ++i)
    message.limits.push_back(ReadLimit(reader));
  const auto load_count = reader.Read<std::uint16_t>();
  for (std::size_t i = 0; i < load_count && !reader.failed(); ++i) {
    const auto name_hash = reader.Read<NameHash>();
    auto& load =
        message.loads.emplace_back(name_hash, policy::EndpointLoad{}).second;
    load.online = reader.Read<std::uint8_t>();
    load.batch = reader.Read<std::uint8_t>();
  }
  return message;
}

}  // namespace

NameHash HashName(std::string_view name) {
  return static_cast<NameHash>(base::Hash64(name));
}

std::vector<std::string> EncodeGossip(
    const std::vector<GossipMessage>& messages) {
  std::vector<std::string> datagrams;
  for (const auto& message : messages) {
    const auto bytes = EncodeMessage(message);
    const bool fits =
        !datagrams.empty() &&
        datagrams.back().size() + bytes.size() <= kMaxDatagramBytes;
    if (!fits) datagrams.emplace_back(kMagic);
    datagrams.back() += bytes;
  }
  return datagrams;
}

std::optional<std::vector<GossipMessage>> DecodeGossip(std::string_view bytes) {
  if (!bytes.starts_with(kMagic)) return std::nullopt;
  Reader reader(bytes.substr(kMagic.size()));
  std::vector<GossipMessage> messages;
  while (!reader.at_end()) {
    messages.push_back(ReadMessage(reader));
    if (reader.failed()) return std::nullopt;
  }
  return messages;
}

}  // namespace gypsumtrack::gateway
