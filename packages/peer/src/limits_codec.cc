#include "gypsumtrack/peer/limits_codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace gypsumtrack::peer {
namespace {

using policy::LimitMessage;

/// Passes the fields of a message to `fields` in wire order. Shared by encoding
/// and decoding.
template <typename Fields, typename Message>
void VisitFields(Fields& fields, Message& message) {
  using Kind = std::remove_const_t<Message>;
  if constexpr (std::is_same_v<Kind, policy::LoanReport>) {
    fields(message.key, message.role, message.number,
           message.acknowledged_sequence, message.held.rate,
           message.held.capacity, message.returned, message.waiting,
           message.prefetch, message.whole_share, message.demand);
  } else if constexpr (std::is_same_v<Kind, policy::LoanGrant>) {
    fields(message.key, message.role, message.number, message.sequence,
           message.added.rate, message.added.capacity, message.tokens,
           message.ttl, message.retry_after, message.demand);
  } else if constexpr (std::is_same_v<Kind, policy::LoanRecall>) {
    fields(message.key, message.role);
  } else if constexpr (std::is_same_v<Kind, policy::HomeHint>) {
    fields(message.key, message.home, message.address);
  } else if constexpr (std::is_same_v<Kind, policy::ShareRowChanged>) {
    fields(message.key);
  } else if constexpr (std::is_same_v<Kind, policy::LeaseVoteRequest> ||
                       std::is_same_v<Kind, policy::LeaseVoteReply>) {
    fields(message.number);
  } else {
    fields(message.target);
  }
}

class ArrayWriter {
 public:
  explicit ArrayWriter(std::size_t kind) : json(Json::arrayValue) {
    this->json.append(static_cast<Json::UInt64>(kind));
  }

  template <typename... Values>
  void operator()(const Values&... values) {
    (this->Write(values), ...);
  }

  Json::Value Take() { return std::move(this->json); }

 private:
  void Write(const policy::LimitKey& key) { this->json.append(key.text); }
  void Write(const std::string& text) { this->json.append(text); }
  void Write(policy::LoanRole role) {
    this->json.append(role == policy::LoanRole::kHome);
  }
  void Write(const base::VmId& vm) {
    this->json.append(vm.name);
    this->json.append(static_cast<Json::UInt64>(vm.incarnation));
  }
  void Write(base::Duration duration) { this->Write(duration.count()); }
  void Write(bool value) { this->json.append(value); }
  void Write(std::uint32_t value) { this->json.append(value); }
  void Write(std::int64_t value) {
    this->json.append(static_cast<Json::Int64>(value));
  }
  void Write(std::uint64_t value) {
    this->json.append(static_cast<Json::UInt64>(value));
  }

  Json::Value json;
};

class ArrayReader {
 public:
  explicit ArrayReader(const Json::Value& array) : json(array) {}

  template <typename... Values>
  void operator()(Values&... values) {
    (this->Read(values), ...);
  }

  /// Whether the array held exactly the fields that were read, all valid.
  bool ReadCompletely() const {
    return this->valid && this->next_index == this->json.size();
  }

 private:
  const Json::Value& NextField() { return this->json[this->next_index++]; }

  template <typename Value, typename HasType, typename Get>
  void ReadIf(Value& value, HasType has_type, Get get) {
    const auto& field = this->NextField();
    if ((field.*has_type)()) {
      value = static_cast<Value>((field.*get)());
    } else {
      this->valid = false;
    }
  }

  void Read(std::string& text) {
    const auto& field = this->NextField();
    if (field.isString()) {
      text = field.asString();
    } else {
      this->valid = false;
    }
  }
  void Read(policy::LimitKey& key) { this->Read(key.text); }
  void Read(policy::LoanRole& role) {
    bool is_home = false;
    this->Read(is_home);
    role = is_home ? policy::LoanRole::kHome : policy::LoanRole::kServe;
  }
  void Read(base::VmId& vm) {
    this->Read(vm.name);
    this->Read(vm.incarnation);
  }
  void Read(base::Duration& duration) {
    std::int64_t count = 0;
    this->Read(count);
    duration = base::Duration(count);
  }
  void Read(bool& value) {
    this->ReadIf(value, &Json::Value::isBool, &Json::Value::asBool);
  }
  void Read(std::uint32_t& value) {
    this->ReadIf(value, &Json::Value::isUInt, &Json::Value::asUInt);
  }
  void Read(std::int64_t& value) {
    this->ReadIf(value, &Json::Value::isInt64, &Json::Value::asInt64);
    if (value < 0) this->valid = false;
  }
  void Read(std::uint64_t& value) {
    this->ReadIf(value, &Json::Value::isUInt64, &Json::Value::asUInt64);
  }

  const Json::Value& json;
  /// Index 0 holds the message kind.
  Json::ArrayIndex next_index = 1;
  bool valid = true;
};

template <std::size_t Kind = 0>
std::optional<LimitMessage> DecodeKind(std::size_t kind,
                                       const Json::Value& json) {
  if constexpr (Kind == std::variant_size_v<LimitMessage>) {
    return std::nullopt;
  } else {
    if (kind != Kind) return DecodeKind<Kind + 1>(kind, json);
    std::variant_alternative_t<Kind, LimitMessage> message;
    ArrayReader reader(json);
    VisitFields(reader, message);
    if (!reader.ReadCompletely()) return std::nullopt;
    return message;
  }
}

}  // namespace

Json::Value EncodeLimitMessage(const LimitMessage& message) {
  ArrayWriter writer(message.index());
  std::visit([&](const auto& alternative) { VisitFields(writer, alternative); },
             message);
  return writer.Take();
}

base::Outcome<LimitMessage> DecodeLimitMessage(const Json::Value& json) {
  if (json.isArray() && !json.empty() && json[0].isUInt()) {
    auto message = DecodeKind(json[0].asUInt(), json);
    if (message) return std::move(*message);
  }
  return base::Error(base::Errc::kInvalid, "malformed limit message");
}

}  // namespace gypsumtrack::peer
