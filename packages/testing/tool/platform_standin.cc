#include <fmt/format.h>
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "gypsumtrack/platform/codec.h"
#include "gypsumtrack/testing/platform_server.h"

/// Runs a simulated platform as a process, for demonstrations and benchmarks.
namespace {

using gypsumtrack::testing::PlatformServer;

constexpr const char* kUsage =
    "usage: platform_standin [--listen IP:PORT] [--vms FILE]\n"
    "  --listen  address to listen on (default 127.0.0.1:9000)\n"
    "  --vms     JSON list of VMs, as in GET /vms\n";

struct Options {
  std::string listen = "127.0.0.1:9000";
  std::string vms_file;
  bool valid = true;
};

Options ParseOptions(int argc, char** argv) {
  static constexpr option kOptions[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"vms", required_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  Options options;
  int option_code = 0;
  while ((option_code = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    if (option_code == 'l') {
      options.listen = optarg;
    } else if (option_code == 'v') {
      options.vms_file = optarg;
    } else {
      options.valid = false;
    }
  }
  return options;
}

bool LoadVms(const std::string& file, PlatformServer& server) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  auto vms = gypsumtrack::platform::ParseVms(text.str());
  if (!vms.ok()) {
    fmt::print(stderr, "platform: {}: {}\n", file, vms.error().message);
    return false;
  }
  server.SetVms(std::move(*vms));
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (!options.valid) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  boost::asio::io_context context;
  PlatformServer server(context.get_executor());
  if (!options.vms_file.empty() && !LoadVms(options.vms_file, server)) return 1;
  const auto started = server.Start(options.listen);
  if (!started.ok()) {
    fmt::print(stderr, "platform: {}\n", started.error().message);
    return 1;
  }
  fmt::print(stderr, "platform: listening on {}\n", server.Address());
  context.run();
  return 0;
}
