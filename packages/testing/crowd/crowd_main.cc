#include <fcntl.h>
#include <fmt/format.h>
#include <getopt.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "../soak/daemon_process.h"
#include "../soak/soak_http.h"
#include "crowd_cases.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/testing/site_standin.h"

/// Plays one crowd of clients that don't behave against a daemon process, and
/// checks that the process lives, that its memory and open descriptors stay
/// within the limits of its VM, and that an ordinary request is answered
/// afterwards. Checks no times and no share of served requests.
namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Ends a play that hangs; no check depends on it.
constexpr std::chrono::seconds kHangBound(60);
/// A crowd that can't send any more for this long is left as it is.
constexpr milliseconds kNoProgressBound(1500);
constexpr std::size_t kLargeAnswerBytes = std::size_t{512} * 1024;
/// Receive buffer of clients that don't read.
constexpr int kUnreadBufferBytes = 4096;

struct Options {
  std::string program;
  std::string directory;
  CrowdShape shape = CrowdShape::kWholeBody;
  CrowdTarget target = CrowdTarget::kRoute;
};

/// The store and the endpoints, on a thread of their own.
class Standins {
 public:
  Standins()
      : work(boost::asio::make_work_guard(this->context)),
        store(this->context.get_executor()),
        endpoint(this->context.get_executor(), "i-1") {
    this->StartLargeEndpoint();
    if (!this->store.Start().ok() || !this->endpoint.Start().ok())
      throw std::runtime_error("the stand-ins can't listen");
    this->thread = std::thread([this] { this->context.run(); });
    this->store.Put("op", "config", Rules());
    this->store.Put("servers", "i-1", this->endpoint.Entry("s1", false));
    this->store.Put(
        "servers", "i-2",
        this->endpoint.Entry("s2", false, this->large_endpoint->address()));
  }
  ~Standins() {
    this->context.stop();
    this->thread.join();
  }
  Standins(const Standins&) = delete;
  Standins& operator=(const Standins&) = delete;

  std::string store_address() const { return this->store.address(); }  // NOLINT

 private:
  static std::string Rules() {
    return fmt::format(
        R"({{"version":1,"routes":[
{{"name":"r1","host":"h1","prefix":"/loans/","kind":"stream","timeoutMs":5000,
"goalMs":300,"attempts":2,"resumable":true,"gapTargetMs":400,"service":"s1"}},
{{"name":"r2","host":"h1","prefix":"/sheets/","kind":"batch","timeoutMs":15000,
"goalMs":400,"service":"s1","attempts":3,"dueMs":18000,"retainS":60,"cap":0}},
{{"name":"r3","host":"h1","prefix":"/clocks/","kind":"idempotent",
"timeoutMs":5000,"goalMs":300,"attempts":2,"service":"s2"}}],
"limits":{{"maxHeaderBytes":{},"maxBodyBytes":{},"headerTimeoutMs":30000,
"idleTimeoutMs":60000}},
"tenants":[{{"name":"club","apiKeys":["k1"],"ratePerS":0,"burst":0}}]}})",
        kMaxHeadBytes, kMaxBodyBytes);
  }

  /// An endpoint with large answers.
  void StartLargeEndpoint() {
    gateway::Router router;
    router.Add(
        "*", "/",
        [](gateway::Exchange& exchange) -> boost::asio::awaitable<void> {
          gateway::ResponseHead head;
          head.headers.push_back({"X-Gypsumtrack-Response-Seal", "seal"});
          const auto* id = exchange.request().Find("X-Gypsumtrack-Request-Id");
          if (id != nullptr)
            head.headers.push_back({"X-Gypsumtrack-Request-Id", *id});
          std::string body(kLargeAnswerBytes, 'a');
          std::ignore =
              co_await exchange.Send(std::move(head), std::move(body));
        });
    gateway::HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.request_id_header.clear();
    this->large_endpoint = std::make_unique<gateway::HttpServer>(
        this->context.get_executor(), base::SystemClock(), std::move(options),
        std::move(router));
    if (!this->large_endpoint->Start().ok())
      throw std::runtime_error("the endpoint can't listen");
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  StoreStandin store;
  EngineStandin endpoint;
  std::unique_ptr<gateway::HttpServer> large_endpoint;
  std::thread thread;
};

/// One client of the crowd. The destructor closes its connection.
class Client {
 public:
  Client(const std::string& address, std::vector<std::string> to_send,
         bool reads_nothing)
      : pieces(std::move(to_send)) {
    const auto endpoint = ParseEndpoint(address);
    this->fd = socket(AF_INET, SOCK_STREAM, 0);
    if (reads_nothing) {
      setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &kUnreadBufferBytes,
                 sizeof(kUnreadBufferBytes));
    }
    if (connect(this->fd, endpoint.data(),
                static_cast<socklen_t>(endpoint.size())) != 0) {
      this->Close();
    } else {
      fcntl(this->fd, F_SETFL, O_NONBLOCK);
    }
  }
  ~Client() { this->Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends what it can of the next piece. Returns whether any byte was sent.
  bool SendPiece() {
    if (this->fd < 0 || this->next == this->pieces.size()) return false;
    const auto& piece = this->pieces[this->next];
    const auto sent =
        send(this->fd, piece.data() + this->offset, piece.size() - this->offset,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (errno != EAGAIN) this->Close();
      return false;
    }
    this->offset += static_cast<std::size_t>(sent);
    if (this->offset == piece.size()) {
      ++this->next;
      this->offset = 0;
    }
    return sent > 0;
  }

  /// Sends one byte more.
  void Trickle() {
    if (this->fd >= 0) std::ignore = send(this->fd, "x", 1, MSG_NOSIGNAL);
  }

  bool is_open() const { return this->fd >= 0; }  // NOLINT

 private:
  void Close() {
    if (this->fd >= 0) close(this->fd);
    this->fd = -1;
  }

  int fd = -1;
  std::vector<std::string> pieces;
  std::size_t next = 0;
  std::size_t offset = 0;
};

std::size_t PeakMemoryMb(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) != 0) continue;
    return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
  }
  return 0;
}

std::size_t CountDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      fmt::format("/proc/{}/fd", process), error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(entries), end(entries)));
}

unsigned Call(const std::string& address, CallRequest request) {
  boost::asio::io_context context;
  unsigned status = 0;
  boost::asio::co_spawn(
      context, CallOnce(address, std::move(request), std::chrono::seconds(4)),
      [&](const std::exception_ptr& error, const CallResponse& response) {
        if (!error && response.complete) status = response.status;
      });
  context.run();
  return status;
}

class CrowdPlay {
 public:
  explicit CrowdPlay(Options play_options)
      : options(std::move(play_options)), daemon(this->Config()) {}

  /// Returns what went wrong, one line each.
  std::vector<std::string> Run() {
    this->daemon.Start();
    if (!this->WaitFor([this] { return this->IsReady(); }))
      return {"the daemon doesn't become ready"};
    this->PlayCrowd();
    const bool is_served = this->WaitFor([this] {
      if (this->options.shape == CrowdShape::kHalfHead)
        for (auto& client : this->clients) client->Trickle();
      this->Observe();
      return this->ServesOrdinaryRequest();
    });
    this->Observe();
    std::vector<std::string> faults;
    const auto end = this->daemon.ReapExited();
    if (!end.empty()) faults.push_back("the process ended: " + end);
    if (end.empty() && !is_served)
      faults.emplace_back("no ordinary request is answered");
    if (this->peak_memory_mb > kMemoryLimitMb)
      faults.emplace_back("memory exceeds the limit");
    if (this->peak_descriptors > kDescriptorLimit)
      faults.emplace_back("open descriptors exceed the limit");
    fmt::print("{} at {}: peak {} of {} MB, {} of {} descriptors\n",
               kCrowdShapeNames.Name(this->options.shape),
               kCrowdTargetNames.Name(this->options.target),
               this->peak_memory_mb, kMemoryLimitMb, this->peak_descriptors,
               kDescriptorLimit);
    return faults;
  }

 private:
  DaemonConfig Config() const {
    std::filesystem::create_directories(this->options.directory);
    DaemonConfig config;
    config.program = this->options.program;
    config.name = "vm-1";
    config.domain = "cairo";
    config.region = "delta";
    config.ip = fmt::format("127.{}.{}.1", getpid() / 250 % 200 + 20,
                            getpid() % 250 + 1);
    config.store_address = this->standins.store_address();
    config.directory = this->options.directory;
    config.further_settings =
        fmt::format("limits.memoryMb={}\nlimits.maxFds={}\n", kMemoryLimitMb,
                    kDescriptorLimit);
    return config;
  }

  std::string TargetAddress() const {
    switch (this->options.target) {
      case CrowdTarget::kReadyPath:
        return this->daemon.ready_address();
      case CrowdTarget::kMetrics: {
        const auto callers = this->daemon.caller_address();
        return callers.substr(0, callers.rfind(':')) + ":9464";
      }
      default:
        return this->daemon.caller_address();
    }
  }

  bool IsReady() const {
    return Call(this->daemon.ready_address(),
                {"GET", "/gypsumtrack/ready", {{"Host", "h1"}}, ""}) == 200;
  }

  bool ServesOrdinaryRequest() const {
    const CallRequest request{"POST",
                              "/loans/1",
                              {{"Host", "h1"},
                               {"X-Api-Key", "k1"},
                               {"X-Gypsumtrack-Request-Id", "0dd1"},
                               {"X-Gypsumtrack-Deadline-Ms", "3000"}},
                              std::string(1500, 'p')};
    return Call(this->daemon.caller_address(), request) == 200;
  }

  template <typename Condition>
  bool WaitFor(Condition condition) {
    const auto until = steady_clock::now() + kHangBound;
    while (steady_clock::now() < until) {
      if (condition()) return true;
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  void Observe() {
    const auto process = this->daemon.process_id();
    this->peak_memory_mb =
        std::max(this->peak_memory_mb, PeakMemoryMb(process));
    this->peak_descriptors =
        std::max(this->peak_descriptors, CountDescriptors(process));
  }

  void PlayCrowd() {
    const auto pieces = CrowdPieces(this->options.shape, this->options.target);
    const bool reads_nothing =
        this->options.shape == CrowdShape::kUnreadAnswers ||
        this->options.shape == CrowdShape::kPipelined;
    const auto address = this->TargetAddress();
    for (std::size_t i = 0; i < CrowdSize(this->options.shape); ++i) {
      this->clients.push_back(
          std::make_unique<Client>(address, pieces, reads_nothing));
    }
    auto last_progress = steady_clock::now();
    const auto until = last_progress + kHangBound;
    while (steady_clock::now() < until &&
           steady_clock::now() < last_progress + kNoProgressBound) {
      bool progress = false;
      for (auto& client : this->clients)
        progress = client->SendPiece() || progress;
      this->Observe();
      if (progress) {
        last_progress = steady_clock::now();
      } else {
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
  }

  Options options;
  Standins standins;
  DaemonProcess daemon;
  std::vector<std::unique_ptr<Client>> clients;
  std::size_t peak_memory_mb = 0;
  std::size_t peak_descriptors = 0;
};

template <typename Table>
auto Parse(const Table& names, const char* text) {
  const auto value = names.Parse(text);
  if (!value) throw std::runtime_error(fmt::format("unknown name {}", text));
  return *value;
}

Options ParseOptions(int argc, char** argv) {
  const std::array<option, 5> known{
      {{"program", required_argument, nullptr, 'p'},
       {"directory", required_argument, nullptr, 'd'},
       {"shape", required_argument, nullptr, 's'},
       {"target", required_argument, nullptr, 't'},
       {nullptr, 0, nullptr, 0}}};
  Options options;
  for (int flag = 0;
       (flag = getopt_long(argc, argv, "", known.data(), nullptr)) != -1;) {
    switch (flag) {
      case 'p':
        options.program = optarg;
        break;
      case 'd':
        options.directory = optarg;
        break;
      case 's':
        options.shape = Parse(kCrowdShapeNames, optarg);
        break;
      case 't':
        options.target = Parse(kCrowdTargetNames, optarg);
        break;
      default:
        throw std::runtime_error(
            "usage: gypsumtrack_crowd --program FILE "
            "--directory DIR --shape NAME --target NAME");
    }
  }
  return options;
}

}  // namespace
}  // namespace gypsumtrack::testing

int main(int argc, char** argv) {
  using gypsumtrack::testing::CrowdPlay;
  using gypsumtrack::testing::ParseOptions;
  try {
    CrowdPlay play(ParseOptions(argc, argv));
    const auto faults = play.Run();
    for (const auto& fault : faults) fmt::print("BROKEN: {}\n", fault);
    return faults.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    fmt::print(stderr, "gypsumtrack_crowd: {}\n", error.what());
    return 2;
  }
}
