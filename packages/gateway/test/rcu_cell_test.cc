#include "gypsumtrack/gateway/rcu_cell.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace gypsumtrack::gateway {
namespace {

TEST_CASE("readers see whole snapshots in rising order while one writes") {
  struct Pair {
    int left;
    int right;
  };
  RcuCell<Pair> cell(std::make_shared<Pair>(Pair{0, 0}));
  std::atomic<bool> torn = false;
  std::atomic<bool> stop = false;
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      int last = 0;
      while (!stop) {
        const auto pair = cell.Get();
        if (pair->left != pair->right || pair->left < last) torn = true;
        last = pair->left;
      }
    });
  }
  for (int i = 1; i <= 500; ++i) cell.Set(std::make_shared<Pair>(Pair{i, i}));
  stop = true;
  for (auto& reader : readers) reader.join();
  CHECK_FALSE(torn);
  CHECK(cell.Get()->left == 500);
}

}  // namespace
}  // namespace gypsumtrack::gateway
