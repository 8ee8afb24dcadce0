#include "names.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr const char* kNamesFile = "review/lib-2/wire.txt";

std::map<std::string, std::string> ReadNames() {
  std::map<std::string, std::string> names;
  std::istringstream lines(ReadFile(kNamesFile));
  for (std::string line; std::getline(lines, line);) {
    const auto equals = line.find('=');
    if (line.starts_with('#') || equals == std::string::npos) continue;
    names[line.substr(0, equals)] = line.substr(equals + 1);
  }
  return names;
}

}  // namespace

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("can't read " + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

const std::string& Name(const std::string& key) {
  static const auto names = ReadNames();
  return names.at(key);
}

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [key, value] : values) {
    const auto mark = "@" + key + "@";
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

}  // namespace review
