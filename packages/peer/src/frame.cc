#include "frame.h"

#include <fmt/format.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <exception>
#include <memory>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::peer {
namespace {

constexpr unsigned kBitsPerByte = 8;

template <typename Number>
void AppendBigEndian(std::string& out, Number number) {
  for (std::size_t i = sizeof(Number); i-- > 0;) {
    out.push_back(static_cast<char>(number >> (i * kBitsPerByte)));
  }
}

std::uint32_t ReadBigEndian(std::string_view bytes) {
  std::uint32_t number = 0;
  for (const char byte : bytes.substr(0, sizeof(number))) {
    number = (number << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return number;
}

bool IsFrameType(std::uint8_t type) {
  return type >= static_cast<std::uint8_t>(FrameType::kCall) &&
         type <= static_cast<std::uint8_t>(FrameType::kPong);
}

std::string Transcript(const Hello& caller, const Hello& callee) {
  return fmt::format("{} {} {} {}:{} {} {} {} {}:{}", caller.version,
                     caller.nonce, caller.vm.incarnation, caller.vm.name.size(),
                     caller.vm.name, callee.version, callee.nonce,
                     callee.vm.incarnation, callee.vm.name.size(),
                     callee.vm.name);
}

Hello HelloFromJson(const Json::Value& in) {
  Hello hello;
  hello.version = in["version"].asUInt();
  hello.vm.name = in["vm"].asString();
  hello.vm.incarnation = in["incarnation"].asUInt64();
  hello.nonce = in["nonce"].asString();
  hello.proof = in["proof"].asString();
  return hello;
}

}  // namespace

std::string EncodeLength(std::size_t length) {
  std::string out;
  AppendBigEndian(out, static_cast<std::uint32_t>(length));
  return out;
}

std::size_t DecodeLength(std::string_view bytes) {
  return ReadBigEndian(bytes);
}

FrameAuthenticator::FrameAuthenticator(std::string direction_key)
    : key(std::move(direction_key)) {}

std::string FrameAuthenticator::Tag(std::string_view content) {
  std::string sequenced_content;
  AppendBigEndian(sequenced_content, this->next_sequence++);
  sequenced_content.append(content);
  return base::HmacSha256(this->key, sequenced_content).substr(0, kTagBytes);
}

std::string FrameAuthenticator::Sign(const Frame& frame) {
  std::string content;
  content.push_back(static_cast<char>(frame.type));
  AppendBigEndian(content, frame.call_id);
  content += frame.body;
  const auto tag = this->Tag(content);
  return EncodeLength(content.size() + tag.size()) + content + tag;
}

std::optional<Frame> FrameAuthenticator::Verify(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes + kTagBytes) return std::nullopt;
  const auto content = bytes.substr(0, bytes.size() - kTagBytes);
  const auto tag = bytes.substr(content.size());
  if (!base::ConstantTimeEqual(this->Tag(content), tag)) return std::nullopt;
  const auto type = static_cast<std::uint8_t>(content.front());
  if (!IsFrameType(type)) return std::nullopt;
  return Frame{static_cast<FrameType>(type), ReadBigEndian(content.substr(1)),
               std::string(content.substr(kFrameHeaderBytes))};
}

std::string EncodeHello(const Hello& hello) {
  Json::Value out;
  out["version"] = hello.version;
  out["vm"] = hello.vm.name;
  out["incarnation"] = static_cast<Json::UInt64>(hello.vm.incarnation);
  out["nonce"] = hello.nonce;
  if (!hello.proof.empty()) out["proof"] = hello.proof;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, out);
}

std::optional<Hello> DecodeHello(const std::string& text) {
  try {
    Json::Value in;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const char* begin = text.data();
    if (!reader->parse(begin, begin + text.size(), &in, nullptr)) {
      return std::nullopt;
    }
    return HelloFromJson(in);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string HelloProof(std::string_view secret, const Hello& caller,
                       const Hello& callee) {
  return base::HmacSha256Hex(secret, "proof " + Transcript(caller, callee));
}

std::string DirectionKey(std::string_view secret, Direction direction,
                         const Hello& caller, const Hello& callee) {
  const std::string label =
      direction == Direction::kToCallee ? "to callee " : "to caller ";
  return base::HmacSha256(secret, label + Transcript(caller, callee));
}

}  // namespace gypsumtrack::peer
