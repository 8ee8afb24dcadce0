#include <fmt/format.h>

#include <boost/json.hpp>
#include <csignal>
#include <set>

#include "../names.h"
#include "../play.h"

/// A batch job has the id of another one, a slash and more as its id. The items
/// of the first are listed all the same, also if the processes are killed
/// meanwhile, and its list has no others.
namespace {

constexpr std::size_t kShortItems = 8;
constexpr std::size_t kLongItems = 6;
constexpr std::chrono::milliseconds kEventPause(10);
constexpr std::chrono::milliseconds kReadTimeout(2500);
constexpr std::chrono::milliseconds kPollPeriod(500);
/// The site's finishS.
constexpr std::chrono::seconds kFinish(18);

std::string JobBody(const std::string& prefix, std::size_t count, int events) {
  std::string items;
  for (std::size_t i = 0; i < count; ++i) {
    if (!items.empty()) items += ',';
    items += fmt::format(
        R"({{"id":"{}{:04}","path":"/sheet/3/1","headers":{{"{}":"100,{}"}},)"
        R"("body":"q83vEjRWeJA=","tokens":500}})",
        prefix, i, review::Name("header.tokens"), events);
  }
  return R"({"requests":[)" + items + "]}";
}

/// The items that a machine lists for the job.
std::set<std::string> ReadListed(review::Play& play, std::size_t machine) {
  std::set<std::string> listed;
  const auto reply =
      review::Call(play.fleet().FrontAddress(machine), "GET",
                   review::Name("path.jobs") + "night12?after=0",
                   {{"Host", "sheet.example"},
                    {review::Name("header.key"), "key-of-the-bench"}},
                   "", kReadTimeout);
  if (reply.status != 200) return listed;
  const auto page = boost::json::parse(reply.body);
  for (const auto& result : page.at("results").as_array())
    listed.insert(
        boost::json::value_to<std::string>(result.as_object().at("id")));
  return listed;
}

bool PlayFinding(const std::string& directory, const std::string& record_file,
                 bool trouble) {
  review::Play::Options options;
  options.worker.events = 1000;
  options.worker.event_pause = kEventPause;
  review::Play play(options, directory, record_file);
  if (trouble)
    play.Submit(1, "night12/3", "key-of-the-bench",
                JobBody("b", kShortItems, 5));
  play.Submit(0, "night12", "key-of-the-bench", JobBody("a", kLongItems, 400));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (std::size_t i = 0; i < play.fleet().size(); ++i)
    play.fleet().Signal(i, SIGKILL);
  const auto until = review::Clock::now() + kFinish;
  std::set<std::string> listed;
  while (review::Clock::now() < until) {
    std::this_thread::sleep_for(kPollPeriod);
    auto now = ReadListed(play, 1);
    if (!now.empty()) listed = std::move(now);
  }
  std::size_t own = 0;
  for (const auto& item : listed) own += item.starts_with('a') ? 1 : 0;
  const bool is_broken = own < kLongItems || listed.size() > own;
  play.record().Line(fmt::format(
      "RESULT {}: {} of {} items of the job are listed, and {} of another job",
      is_broken ? "broken" : "held", own, kLongItems, listed.size() - own));
  return !is_broken;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunPlay(argc, argv, PlayFinding);
}
