#include "gypsumtrack/policy/serving/event_splitter.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

std::string Concatenate(const std::vector<StreamEvent>& events) {
  std::string bytes;
  for (const auto& event : events) bytes += event.bytes;
  return bytes;
}

TEST_CASE("a stream is split into complete events") {
  EventSplitter splitter;
  SECTION("an event keeps its bytes, its id and its data") {
    const auto events = splitter.Feed("id: 7\ndata: one\ndata: two\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 7\ndata: one\ndata: two\n\n");
    CHECK(events[0].id == 7);
    CHECK(events[0].data == "one\ntwo");
    CHECK(splitter.at_event_end());
  }
  SECTION("an incomplete event is held back until the rest arrives") {
    CHECK(splitter.Feed("id: 1\nda").empty());
    CHECK_FALSE(splitter.at_event_end());
    CHECK(splitter.Feed("ta: x\n").empty());
    const auto events = splitter.Feed("\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].data == "x");
  }
  SECTION("several events and an incomplete one arrive at once") {
    const auto events = splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid");
    REQUIRE(events.size() == 2);
    CHECK(events[1].id == 2);
    CHECK_FALSE(splitter.at_event_end());
  }
  SECTION("lines may end in carriage return and line feed") {
    const auto events = splitter.Feed("id: 3\r\ndata: c\r\n\r\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 3);
    CHECK(events[0].data == "c");
  }
  SECTION("an event without end is given up at the limit") {
    CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: ").size() == 1);
    const std::string piece(kMaxEventBytes / 2, 'x');
    CHECK(splitter.Feed(piece).empty());
    CHECK_FALSE(splitter.event_too_long());
    CHECK(splitter.Feed(piece).empty());
    CHECK(splitter.event_too_long());
    CHECK_FALSE(splitter.at_event_end());
    SECTION("and what follows isn't part of any event") {
      CHECK(splitter.Feed("\n\nid: 3\ndata: c\n\n").empty());
      CHECK_FALSE(splitter.at_event_end());
    }
  }
  SECTION("an event may begin with a line of its endpoint") {
    const auto events = splitter.Feed("x-versions: 3\nid: 1\ndata: a\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 1);
    CHECK(splitter.at_event_end());
  }
  SECTION("comments and blank lines may stand alone") {
    CHECK(splitter.Feed(":\n\n\n: alive\r\n\r\nretry: 5\n\n").size() == 3);
    CHECK(splitter.at_event_end());
  }
  SECTION("what is no event ends the events") {
    const std::string no_event =
        GENERATE("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 500 Error\r\n\r\n", "the engine crashed\n\n",
                 "{\"error\":1}\n\n", "error: crashed\n\n",
                 "id: 2\ndaHTTP/1.1 500 Error\r\nX-Name: y\r\n\r\n",
                 "data: woHTTP/1.1 500 Error\r\nX-Name: y\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nid: 2\n\n");
    const auto events =
        splitter.Feed("id: 1\ndata: a\n\n" + no_event + "id: 2\ndata: b\n\n");
    CHECK(events.size() == 1);
    CHECK(splitter.event_malformed());
    CHECK_FALSE(splitter.at_event_end());
    CHECK(splitter.Feed("id: 2\ndata: b\n\n").empty());
  }
  SECTION("an id that isn't a number is ignored") {
    const auto events = splitter.Feed("id: 1x\ndata:\n\n");
    REQUIRE(events.size() == 1);
    CHECK_FALSE(events[0].id.has_value());
    CHECK(events[0].data.empty());
  }
}

// Guards against bytes of a damaged response in the output of an item: the row
// that holds it could never be read again.
TEST_CASE("an event with bytes that aren't UTF-8 is no event") {
  EventSplitter splitter;
  SECTION("the events before it count, and nothing after it does") {
    const auto events = splitter.Feed(
        "id: 1\ndata: a\n\nid: 2\ndata: b\xE1 c\n\nid: 3\ndata: d\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 1);
    CHECK(splitter.event_malformed());
    CHECK_FALSE(splitter.at_event_end());
    CHECK(splitter.Feed("id: 2\ndata: b\n\n").empty());
  }
  SECTION("it doesn't matter in which field they are") {
    CHECK(splitter.Feed("event: \xFF\nid: 1\ndata: a\n\n").empty());
    CHECK(splitter.event_malformed());
  }
  SECTION("a character may be cut between two parts of the stream") {
    CHECK(splitter.Feed("id: 1\ndata: Liivam\xC3").empty());
    const auto events = splitter.Feed("\xA4gi \xF0\x9F\x8C\x8D\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].data == "Liivam\xC3\xA4gi \xF0\x9F\x8C\x8D");
    CHECK(splitter.at_event_end());
  }
}

TEST_CASE("an event arrives in parts") {
  using std::chrono::seconds;
  const base::Instant start{};
  const base::Duration timeout = seconds(2);
  const auto partial = PartContent::kPartialEvent;
  const auto whole = PartContent::kEvent;
  EventArrivalLimit limit;
  REQUIRE(limit.OnPart(partial, start, timeout));
  CHECK(limit.OnPart(partial, start + seconds(1), timeout));
  SECTION("it may take as long as the timeout") {
    CHECK_FALSE(limit.OnPart(partial, start + seconds(2), timeout));
  }
  SECTION("the next event has a time of its own, from its first part") {
    CHECK(limit.OnPart(whole, start + seconds(3), timeout));
    CHECK(limit.OnPart(partial, start + seconds(8), timeout));
    CHECK(limit.OnPart(partial, start + seconds(9), timeout));
    CHECK_FALSE(limit.OnPart(partial, start + seconds(10), timeout));
  }
  SECTION("blank lines and comments give it no more time") {
    CHECK(limit.OnPart(PartContent::kNone, start + seconds(1), timeout));
    CHECK_FALSE(limit.OnPart(partial, start + seconds(2), timeout));
  }
  SECTION("it has the whole time again after a silence in the middle of it") {
    CHECK(limit.OnPart(partial, start + seconds(4), timeout));
    CHECK(limit.OnPart(partial, start + seconds(5), timeout));
    CHECK_FALSE(limit.OnPart(partial, start + seconds(6), timeout));
  }
}

// Guards against blank lines without end that count as a stream that goes on.
TEST_CASE("blank lines and comments bring nothing") {
  EventSplitter splitter;
  const auto classify = [&](std::string_view part) {
    return ClassifyPart(splitter, splitter.Feed(part));
  };
  SECTION("however they are cut into parts") {
    for (const auto* part : {"\n", "\n\n\n", "\r\n\r", "\n", ": ke", "ep\n",
                             "\n", ":\n\n:\n\n\n"}) {
      INFO(part);
      CHECK(classify(part) == PartContent::kNone);
    }
    CHECK(classify("data: a\n\n") == PartContent::kEvent);
  }
  SECTION("but an event behind them does") {
    CHECK(classify("\n\n: keep\nid") == PartContent::kPartialEvent);
    CHECK(classify(": 1\n") == PartContent::kPartialEvent);
    CHECK(classify("\n") == PartContent::kEvent);
    CHECK(classify("\n\n") == PartContent::kNone);
  }
  SECTION("and so does an event without data") {
    CHECK(classify("id: 7\n\n") == PartContent::kEvent);
  }
}

TEST_CASE("events don't depend on how the stream is cut into packets") {
  rc::prop("any pieces give the same events", [] {
    std::string stream;
    const auto count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i) {
      const auto line_end =
          *rc::gen::element(std::string("\n"), std::string("\r\n"));
      stream += "id: ";
      stream += std::to_string(i);
      for (const auto& part :
           {line_end, std::string("data: d"), line_end, line_end}) {
        stream += part;
      }
    }
    stream += *rc::gen::element(std::string(), std::string("id: 9"));
    EventSplitter whole;
    const auto expected = whole.Feed(stream);
    EventSplitter pieces;
    std::vector<StreamEvent> events;
    std::size_t offset = 0;
    while (offset < stream.size()) {
      const auto size = std::min<std::size_t>(*rc::gen::inRange(1, 9),
                                              stream.size() - offset);
      for (auto& event : pieces.Feed(stream.substr(offset, size))) {
        events.push_back(std::move(event));
      }
      offset += size;
    }
    RC_ASSERT(events.size() == expected.size());
    RC_ASSERT(Concatenate(events) == Concatenate(expected));
    RC_ASSERT(pieces.at_event_end() == whole.at_event_end());
  });
}

}  // namespace
}  // namespace gypsumtrack::policy
