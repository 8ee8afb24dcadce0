#include "site.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace gypsumtrack::review {
namespace {

constexpr milliseconds kRestartDelay(500);

std::string ReadVariable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr)
    throw std::runtime_error(fmt::format("{} isn't set", name));
  return value;
}

}  // namespace

PlayOptions ReadPlayOptions() {
  PlayOptions options;
  options.program = ReadVariable("PROGRAM");
  options.case_directory = ReadVariable("CASE_DIR");
  options.lib_directory = ReadVariable("LIB_DIR");
  options.directory = ReadVariable("PLAY_DIR");
  options.trouble = ReadVariable("TROUBLE") != "0";
  std::filesystem::create_directories(options.directory);
  return options;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("can't read " + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

WireNames::WireNames(const std::string& path) {
  std::istringstream in(ReadFile(path));
  std::string line;
  while (std::getline(in, line)) {
    const auto equals = line.find('=');
    if (equals != std::string::npos)
      this->names[line.substr(0, equals)] = line.substr(equals + 1);
  }
}

const std::string& WireNames::operator[](const std::string& name) const {
  return this->names.at(name);
}

Record::Record(const std::string& path) : out(path) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(steady_clock::now() - this->started)
      .count();
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->out << fmt::format("{:8.3f} {}\n", this->Seconds(), line);
  this->out.flush();
}

Loop::Loop()
    : work(boost::asio::make_work_guard(this->loop)),
      thread([this] { this->loop.run(); }) {}

Loop::~Loop() {
  this->loop.stop();
  this->thread.join();
}

void Loop::Run(const std::function<void()>& action) {
  std::promise<void> done;
  boost::asio::post(this->loop, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void Callers::Send(const std::string& address, testing::CallRequest request,
                   milliseconds timeout,
                   std::function<void(const Answer&)> handler) {
  const auto sent_at = this->record.Seconds();
  boost::asio::co_spawn(
      this->loop.context(),
      testing::CallOnce(address, std::move(request), timeout),
      [this, sent_at, handler = std::move(handler)](
          const std::exception_ptr& error, testing::CallResponse response) {
        Answer answer{sent_at, this->record.Seconds(), {}};
        if (!error) answer.response = std::move(response);
        handler(answer);
      });
}

Answer Callers::Call(const std::string& address, testing::CallRequest request,
                     milliseconds timeout) {
  std::promise<Answer> promise;
  this->Send(address, std::move(request), timeout,
             [&](const Answer& answer) { promise.set_value(answer); });
  return promise.get_future().get();
}

LimitedDaemon::LimitedDaemon(testing::DaemonConfig config,
                             std::size_t memory_mb, Record& record)
    : pid_file(config.directory + "/pids"),
      daemon(std::move(config)),
      limit_mb(memory_mb),
      record(record) {}

void LimitedDaemon::Start() {
  this->start_at = steady_clock::time_point::max();
  this->daemon.Start();
  std::ofstream(this->pid_file, std::ios::app)
      << this->daemon.process_id() << "\n";
  this->record.Add("start " + this->daemon.name());
}

void LimitedDaemon::Supervise() {
  if (!this->daemon.running()) {
    if (steady_clock::now() >= this->start_at) this->Start();
    return;
  }
  const auto end = this->daemon.ReapExited();
  const auto resident = end.empty() ? ResidentMb(this->daemon.process_id()) : 0;
  this->peak = std::max(this->peak, resident);
  if (end.empty() && resident <= this->limit_mb) return;
  if (end.empty()) this->daemon.Kill();
  ++this->end_count;
  this->start_at = steady_clock::now() + kRestartDelay;
  this->record.Add(fmt::format(
      "end {} of {}: {}", this->end_count, this->daemon.name(),
      end.empty()
          ? fmt::format("{} MB of {} MB in use", resident, this->limit_mb)
          : end));
}

std::size_t ResidentMb(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) != 0) continue;
    return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
  }
  return 0;
}

testing::DaemonConfig MakeDaemonConfig(const PlayOptions& options, int number,
                                       const std::string& store_address) {
  testing::DaemonConfig config;
  config.program = options.program;
  config.name = fmt::format("vm-{}", number);
  config.domain = "cairo";
  config.region = "delta";
  config.ip = fmt::format("127.{}.{}.{}", getpid() / 250 % 200 + 20,
                          getpid() % 250 + 1, number);
  config.store_address = store_address;
  config.directory = options.directory;
  return config;
}

bool WaitFor(milliseconds bound, const std::function<bool()>& condition) {
  const auto until = steady_clock::now() + bound;
  while (steady_clock::now() < until) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return condition();
}

}  // namespace gypsumtrack::review
