#include "gypsumtrack/gateway/rcu_cell.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace gypsumtrack::gateway {
namespace {

TEST_CASE(
    "concurrent readers see consistent snapshots in the order of writes") {
  struct Pair {
    int first;
    int second;
  };
  RcuCell<Pair> cell(std::make_shared<Pair>(Pair{0, 0}));
  std::atomic<bool> inconsistent = false;
  std::atomic<bool> stop = false;
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      int last = 0;
      while (!stop) {
        const auto pair = cell.Get();
        if (pair->first != pair->second || pair->first < last)
          inconsistent = true;
        last = pair->first;
      }
    });
  }
  for (int i = 1; i <= 500; ++i) cell.Set(std::make_shared<Pair>(Pair{i, i}));
  stop = true;
  for (auto& reader : readers) reader.join();
  CHECK_FALSE(inconsistent);
  CHECK(cell.Get()->first == 500);
}

}  // namespace
}  // namespace gypsumtrack::gateway
