#include "crowd_cases.h"

#include <fmt/format.h>

#include <algorithm>

namespace gypsumtrack::testing {
namespace {

constexpr std::size_t kBodyClients = 100;
constexpr std::size_t kFieldClients = 160;
constexpr std::size_t kConnectionClients = 600;
constexpr std::size_t kPipelineClients = 20;
constexpr std::size_t kSmallPiece = 4096;
constexpr std::size_t kPipelinedRequests = 20'000;
constexpr std::size_t kOversizedBytes = std::size_t{64} << 20;
/// The oversized clients send this much if nobody stops them.
constexpr std::size_t kOversizedSentBytes = std::size_t{2} << 20;

std::string PathOf(CrowdTarget target) {
  switch (target) {
    case CrowdTarget::kRoute:
    case CrowdTarget::kWrongKey:
    case CrowdTarget::kNoKey:
      return "/loans/1";
    case CrowdTarget::kNoRoute:
      return "/nowhere/1";
    case CrowdTarget::kBatchRoute:
      return "/sheets/1";
    case CrowdTarget::kJobResults:
      return "/gypsumtrack/lots/4f5a?after=0";
    case CrowdTarget::kReadyPath:
    case CrowdTarget::kCallersReady:
      return "/gypsumtrack/ready";
    case CrowdTarget::kMetrics:
      return "/metrics";
  }
  return "/";
}

std::string KeyField(CrowdTarget target) {
  switch (target) {
    case CrowdTarget::kRoute:
    case CrowdTarget::kBatchRoute:
    case CrowdTarget::kJobResults:
      return "X-Api-Key: k1\r\n";
    case CrowdTarget::kWrongKey:
      return "X-Api-Key: nobody\r\n";
    default:
      return "";
  }
}

std::string HeadStart(CrowdTarget target, const std::string& method) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: h1\r\nX-Gypsumtrack-Request-Id: c0ffee\r\n{}",
      method, PathOf(target), KeyField(target));
}

std::string BodyHead(CrowdTarget target, std::size_t length) {
  return HeadStart(target, "POST") +
         fmt::format("Content-Length: {}\r\n\r\n", length);
}

std::string ChunkedHead(CrowdTarget target) {
  return HeadStart(target, "POST") + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(std::size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'c'));
}

std::vector<std::string> Pieces(std::string first, std::size_t bytes,
                                std::size_t piece) {
  std::vector<std::string> pieces{std::move(first)};
  for (std::size_t sent = 0; sent < bytes; sent += piece)
    pieces.emplace_back(std::min(piece, bytes - sent), 'b');
  return pieces;
}

std::string ShortFields(CrowdTarget target) {
  auto head = HeadStart(target, "POST") + "Content-Length: 1000\r\n";
  while (head.size() + 8 < kMaxHeadBytes) head += "a:b\r\n";
  return head + "\r\n" + std::string(500, 'b');
}

std::string CompleteBody(CrowdTarget target, const std::string& unit,
                         const std::string& begin, const std::string& end) {
  std::string body = begin;
  while (body.size() + unit.size() + end.size() < kMaxBodyBytes) body += unit;
  body += end;
  return BodyHead(target, body.size()) + body;
}

std::string Pipeline(CrowdTarget target) {
  std::string requests;
  const auto request = HeadStart(target, "GET") + "\r\n";
  for (std::size_t i = 0; i < kPipelinedRequests; ++i) requests += request;
  return requests;
}

}  // namespace

std::size_t CrowdSize(CrowdShape shape) {
  switch (shape) {
    case CrowdShape::kShortFields:
    case CrowdShape::kUnreadAnswers:
      return kFieldClients;
    case CrowdShape::kHalfHead:
    case CrowdShape::kSilent:
      return kConnectionClients;
    case CrowdShape::kPipelined:
      return kPipelineClients;
    default:
      return kBodyClients;
  }
}

std::vector<std::string> CrowdPieces(CrowdShape shape, CrowdTarget target) {
  const auto head = BodyHead(target, kMaxBodyBytes);
  switch (shape) {
    case CrowdShape::kWholeBody:
      return {head + std::string(kMaxBodyBytes - 1, 'b')};
    case CrowdShape::kPieces:
      return Pieces(head, kMaxBodyBytes - 1, kSmallPiece);
    case CrowdShape::kChunks: {
      std::vector<std::string> chunks{ChunkedHead(target)};
      for (std::size_t sent = 0; sent + kSmallPiece < kMaxBodyBytes;
           sent += kSmallPiece)
        chunks.push_back(Chunk(kSmallPiece));
      return chunks;
    }
    case CrowdShape::kOversized:
      return {BodyHead(target, kOversizedBytes) +
              std::string(kOversizedSentBytes, 'b')};
    case CrowdShape::kOversizedChunks:
      return {ChunkedHead(target), Chunk(kOversizedSentBytes)};
    case CrowdShape::kExpectContinue:
      return {HeadStart(target, "POST") +
                  fmt::format("Expect: 100-continue\r\nContent-Length: {}\r\n"
                              "\r\n",
                              kMaxBodyBytes),
              std::string(kMaxBodyBytes - 1, 'b')};
    case CrowdShape::kShortFields:
      return {ShortFields(target)};
    case CrowdShape::kShortMembers:
      return {CompleteBody(target, R"({"a":1},)", R"({"requests":[)", "1]}")};
    case CrowdShape::kDeepNesting:
      return {CompleteBody(target, "[", R"({"requests":)", "")};
    case CrowdShape::kPipelined:
      return {Pipeline(target)};
    case CrowdShape::kHalfHead:
      return {HeadStart(target, "POST")};
    case CrowdShape::kSilent:
      return {};
    case CrowdShape::kUnreadAnswers:
      return {
          fmt::format("POST /clocks/large HTTP/1.1\r\nHost: h1\r\n"
                      "X-Gypsumtrack-Request-Id: c0ffee\r\n"
                      "X-Api-Key: k1\r\nContent-Length: 0\r\n\r\n")};
  }
  return {};
}

}  // namespace gypsumtrack::testing
