#include "gypsumtrack/testing/site_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <utility>

#include "../soak/soak_http.h"
#include "gypsumtrack/base/base64.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Returns the value of the first row in the response to a GET of `target`.
std::string ReadFirstRow(asio::io_context& context, const StoreStandin& store,
                         const std::string& target) {
  CallRequest request{"GET", target, {}, {}};
  auto response = asio::co_spawn(
      context,
      CallOnce(store.address(), std::move(request), std::chrono::seconds(5)),
      asio::use_future);
  context.restart();
  while (response.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    context.run_one();
  }
  const auto page = json::parse(response.get().body).as_object();
  const auto& row = page.at("rows").as_array().at(0).as_object();
  return *base::DecodeBase64(json::value_to<std::string>(row.at("value")));
}

TEST_CASE("several stores serve the same rows with their own addresses") {
  asio::io_context context;
  StoreStandin store(context.get_executor());
  StoreStandin other(store, [](const std::string& id) { return "at-" + id; });
  REQUIRE(store.Start().ok());
  REQUIRE(other.Start().ok());
  const EngineStandin engine(context.get_executor(), "i-1");
  const auto entry = engine.Entry("s1", false, "at-engine");
  store.Put("servers", "i-1", entry);
  store.Put("op", "config", entry);

  const auto* read_entry = "/gypsumtrack/rows-get?table=servers&part=";
  const auto* feed_entry = "/gypsumtrack/rows-feed?table=servers&after=0";
  CHECK(ReadFirstRow(context, store, read_entry) == entry);
  CHECK(ReadFirstRow(context, store, feed_entry) == entry);
  const auto replaced = engine.Entry("s1", false, "at-i-1");
  CHECK(ReadFirstRow(context, other, read_entry) == replaced);
  CHECK(ReadFirstRow(context, other, feed_entry) == replaced);

  SECTION("and other tables unchanged") {
    const auto* read_rules = "/gypsumtrack/rows-get?table=op&part=";
    CHECK(ReadFirstRow(context, other, read_rules) == entry);
  }
  SECTION("and a row that is written to one is in the others") {
    const auto draining = engine.Entry("s1", true, "at-i-1");
    other.Put("servers", "i-1", draining);
    CHECK(ReadFirstRow(context, store, read_entry) == draining);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
