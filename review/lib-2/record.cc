#include "record.h"

#include <fmt/format.h>

namespace review {

Record::Record(const std::string& path) : out(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->out << fmt::format("{:>7} {}\n", this->Millis(), text);
  this->out.flush();
}

long Record::Millis() const {
  const auto since = Clock::now() - this->started_at;
  return std::chrono::duration_cast<milliseconds>(since).count();
}

}  // namespace review
