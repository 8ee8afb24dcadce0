#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "gypsumtrack/testing/engine_model.h"

/// Load generator: sends streaming completion requests with exponentially
/// distributed gaps and checks the text of each response.
namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;
using Parser = http::response_parser<http::buffer_body>;

constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxCount = 100000;
constexpr std::uint32_t kMaxRate = 10000;
constexpr std::chrono::seconds kMaxRunTime(600);
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBufferBytes = 16384;
constexpr int kUsageError = 2;

/// Settings from the command line.
struct LoadOptions {
  tcp::endpoint address;
  std::string key;
  std::string model;
  std::uint32_t rate = 10;
  std::uint32_t count = 100;
  std::uint32_t tokens = 16;
  std::uint32_t seed = 1;
};

/// Latencies and outcomes of all requests.
struct LoadResult {
  /// Time from the request to its first token.
  std::vector<double> first_token_ms;
  /// Time between consecutive tokens of a stream.
  std::vector<double> inter_token_ms;
  /// Streams with the expected text and the end mark.
  std::uint32_t complete = 0;
  /// Complete streams whose text isn't the one expected for the prompt.
  std::uint32_t mismatched = 0;
  /// Requests without a response, or whose stream ended without its end mark.
  std::uint32_t lost = 0;
  /// Refused requests by error code.
  std::map<std::string, std::uint32_t> refused;
};

/// Parses the server-sent events of one stream, and records its text and the
/// arrival times of its tokens.
class StreamParser {
 public:
  StreamParser(LoadResult& result, SteadyClock::time_point sent)
      : result(result), last_token_at(sent) {}

  void Feed(std::string_view bytes) {
    this->pending += bytes;
    for (auto end = this->pending.find('\n'); end != std::string::npos;
         end = this->pending.find('\n')) {
      const auto line = this->pending.substr(0, end);
      this->pending.erase(0, end + 1);
      if (line == "data: [DONE]") this->done = true;
      if (line.starts_with("data: {")) this->HandleEvent(line.substr(6));
    }
  }

  std::string text;
  bool done = false;

 private:
  void HandleEvent(const std::string& data) {
    error_code error;
    const auto event = json::parse(data, error);
    if (error || !event.is_object()) return;
    const auto* choices = event.as_object().if_contains("choices");
    if (choices == nullptr || !choices->is_array()) return;
    for (const auto& choice : choices->as_array()) {
      const auto* token_text = choice.as_object().if_contains("text");
      if (token_text == nullptr || !token_text->is_string()) continue;
      if (token_text->as_string().empty()) continue;
      this->text += token_text->as_string().c_str();
      this->RecordToken();
    }
  }

  void RecordToken() {
    const auto now = SteadyClock::now();
    const std::chrono::duration<double, std::milli> delay =
        now - this->last_token_at;
    auto& delays = this->awaiting_first_token ? this->result.first_token_ms
                                              : this->result.inter_token_ms;
    delays.push_back(delay.count());
    this->awaiting_first_token = false;
    this->last_token_at = now;
  }

  LoadResult& result;
  SteadyClock::time_point last_token_at;
  std::string pending;
  bool awaiting_first_token = true;
};

std::string ErrorCode(const std::string& body) {
  error_code error;
  const auto parsed = json::parse(body, error);
  if (error || !parsed.is_object()) return "?";
  const auto* detail = parsed.as_object().if_contains("error");
  if (detail == nullptr || !detail->is_object()) return "?";
  const auto* code = detail->as_object().if_contains("code");
  return code != nullptr && code->is_string() ? std::string(code->as_string())
                                              : std::string("?");
}

/// One run of the load generator.
class LoadRun {
 public:
  explicit LoadRun(LoadOptions options)
      : options(std::move(options)), random(this->options.seed) {}

  LoadResult Run() {
    asio::co_spawn(this->context, this->SendRequests(), asio::detached);
    this->context.run_for(kMaxRunTime);
    return std::move(this->result);
  }

 private:
  /// Sends requests in an open loop: send times don't depend on how fast
  /// responses arrive.
  asio::awaitable<void> SendRequests() {
    asio::steady_timer timer(this->context);
    auto next = SteadyClock::now();
    std::exponential_distribution<double> interarrival_time(this->options.rate);
    for (std::uint32_t i = 0; i < this->options.count; ++i) {
      next += std::chrono::duration_cast<SteadyClock::duration>(
          std::chrono::duration<double>(interarrival_time(this->random)));
      timer.expires_at(next);
      co_await timer.async_wait(kUseAwaitable);
      asio::co_spawn(this->context, this->SendRequest(i), asio::detached);
    }
  }

  asio::awaitable<void> SendRequest(std::uint32_t number) {
    const auto prompt =
        fmt::format("load {} request {}", this->options.seed, number);
    tcp::socket socket(this->context);
    const auto sent = SteadyClock::now();
    const auto [connect_error] =
        co_await socket.async_connect(this->options.address, kUseAwaitable);
    if (connect_error) {
      this->result.refused["no_connection"]++;
      co_return;
    }
    auto request = this->MakeRequest(prompt);
    const auto [write_error, size] =
        co_await http::async_write(socket, request, kUseAwaitable);
    if (write_error) {
      this->result.lost++;
      co_return;
    }
    co_await this->ReadResponse(socket, prompt, sent);
  }

  http::request<http::string_body> MakeRequest(
      const std::string& prompt) const {
    http::request<http::string_body> request(http::verb::post,
                                             "/v1/completions", kHttp11);
    request.set(http::field::host, "gateway");
    request.set(http::field::authorization, "Bearer " + this->options.key);
    request.set(http::field::connection, "close");
    request.body() =
        json::serialize(json::object{{"model", this->options.model},
                                     {"prompt", prompt},
                                     {"stream", true},
                                     {"max_tokens", this->options.tokens}});
    request.prepare_payload();
    return request;
  }

  asio::awaitable<void> ReadResponse(tcp::socket& socket,
                                     const std::string& prompt,
                                     SteadyClock::time_point sent) {
    boost::beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(boost::none);
    StreamParser stream(this->result, sent);
    std::string error_body;
    std::string read_buffer(kReadBufferBytes, '\0');
    error_code error;
    std::size_t size = 0;
    std::tie(error, size) =
        co_await http::async_read_header(socket, buffer, parser, kUseAwaitable);
    const bool streamed = parser.get().result() == http::status::ok;
    while (!error && !parser.is_done()) {
      auto& body = parser.get().body();
      body.data = read_buffer.data();
      body.size = read_buffer.size();
      std::tie(error, size) =
          co_await http::async_read_some(socket, buffer, parser, kUseAwaitable);
      if (error == http::error::need_buffer) error = {};
      const std::string_view received(read_buffer.data(),
                                      read_buffer.size() - body.size);
      if (streamed) {
        stream.Feed(received);
      } else {
        error_body += received;
      }
    }
    if (!error && !streamed) {
      this->result.refused[ErrorCode(error_body)]++;
    } else {
      this->RecordOutcome(stream, prompt);
    }
  }

  void RecordOutcome(const StreamParser& stream, const std::string& prompt) {
    if (!stream.done) {
      this->result.lost++;
    } else if (stream.text != AnswerText(prompt, this->options.tokens)) {
      this->result.mismatched++;
    } else {
      this->result.complete++;
    }
  }

  LoadOptions options;
  asio::io_context context{1};
  std::mt19937_64 random;
  LoadResult result;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last_index = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last_index)];
}

void Print(const LoadResult& result) {
  fmt::print("whole {}  mismatched {}  lost {}\n", result.complete,
             result.mismatched, result.lost);
  for (const auto& [code, count] : result.refused) {
    fmt::print("refused {} {}\n", code, count);
  }
  const auto print_latencies = [](const char* label,
                                  const std::vector<double>& values) {
    fmt::print("{:14} p50 {:.1f} ms  p95 {:.1f} ms  p99 {:.1f} ms\n", label,
               Quantile(values, 0.5), Quantile(values, 0.95),
               Quantile(values, 0.99));
  };
  print_latencies("first token", result.first_token_ms);
  print_latencies("between tokens", result.inter_token_ms);
}

constexpr const char* kUsage =
    "usage: gypsumtrack_load --address IP:PORT --key KEY --model NAME\n"
    "  --address IP:PORT  loopback addresses only\n"
    "  --rate N           requests per second, 1 to 10000, default 10\n"
    "  --count N          requests, 1 to 100000, default 100\n"
    "  --tokens N         tokens per response, default 16\n"
    "  --seed N           seed of send times and prompts, default 1\n"
    "Ends after 600 s at the latest.\n";

bool ParseNumber(std::string_view text, std::uint32_t& out, std::uint32_t max) {
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  return parsed.ec == std::errc() && parsed.ptr == end && out >= 1 &&
         out <= max;
}

bool ParseAddress(const std::string& text, tcp::endpoint& out) {
  const auto colon = text.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos) return false;
  if (!ParseNumber(text.substr(colon + 1), port, 65535)) return false;
  error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  out = {ip, static_cast<std::uint16_t>(port)};
  return !error && ip.is_loopback();
}

constexpr struct option kFlags[] = {
    {"address", required_argument, nullptr, 'a'},
    {"key", required_argument, nullptr, 'k'},
    {"model", required_argument, nullptr, 'm'},
    {"rate", required_argument, nullptr, 'r'},
    {"count", required_argument, nullptr, 'c'},
    {"tokens", required_argument, nullptr, 't'},
    {"seed", required_argument, nullptr, 's'},
    {nullptr, 0, nullptr, 0},
};

bool ApplyFlag(int flag, const char* value, LoadOptions& options) {
  switch (flag) {
    case 'a':
      return ParseAddress(value, options.address);
    case 'k':
      options.key = value;
      return true;
    case 'm':
      options.model = value;
      return true;
    case 'r':
      return ParseNumber(value, options.rate, kMaxRate);
    case 'c':
      return ParseNumber(value, options.count, kMaxCount);
    case 't':
      return ParseNumber(value, options.tokens, kMaxCount);
    case 's':
      return ParseNumber(value, options.seed, UINT32_MAX);
    default:
      return false;
  }
}

int Main(int argc, char** argv) {
  LoadOptions options;
  bool valid = true;
  for (int flag = 0; valid && flag != -1;) {
    flag = getopt_long(argc, argv, "", kFlags, nullptr);
    if (flag != -1) valid = ApplyFlag(flag, optarg, options);
  }
  if (!valid || options.address.port() == 0) {
    std::fputs(kUsage, stderr);
    return kUsageError;
  }
  const auto result = LoadRun(std::move(options)).Run();
  Print(result);
  return result.lost + result.mismatched == 0 ? 0 : 1;
}

}  // namespace
}  // namespace gypsumtrack::testing

int main(int argc, char** argv) {
  return gypsumtrack::testing::Main(argc, argv);
}
