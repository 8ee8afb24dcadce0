#ifndef REVIEW_LIB_2_STORE_H_
#define REVIEW_LIB_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it, in memory: rows
/// with transactions, reads, partitions and feeds, and objects. Thread-safe.
class Store {
 public:
  Store();

  /// `ip:port`.
  const std::string& address() const { return this->server->address(); }
  /// Writes a row as the operator or a worker does; its part is empty.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// The same for a row that is removed.
  void Remove(const std::string& table, const std::string& key);
  /// Size of all objects.
  std::size_t ObjectBytes();

 private:
  /// Table, part and key.
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row {
    /// In base64, as it came.
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    RowKey at;
    Row row;
    bool removed = false;
    Clock::time_point made_at;
  };

  bool Serve(const Request& request, Socket& socket);
  /// Returns the status and the body of the answer.
  std::pair<unsigned, std::string> Dispatch(const Request& request);
  std::pair<unsigned, std::string> Transact(const std::string& body);
  std::pair<unsigned, std::string> Read(const Request& request);
  std::pair<unsigned, std::string> ListPartitions(const Request& request);
  std::pair<unsigned, std::string> Feed(const Request& request);
  std::pair<unsigned, std::string> PutObject(const Request& request);

  /// Precondition: the mutex is held.
  void Apply(const RowKey& at, const std::string* value);
  /// Precondition: the mutex is held.
  std::uint64_t NowMillis() const;

  const Clock::time_point started_at = Clock::now();
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t version = 1;
  std::map<RowKey, Row> rows;
  std::deque<Change> history;
  /// Feeds after earlier versions have lost their history.
  std::uint64_t history_from = 0;
  std::map<std::string, std::string> objects;
  std::size_t object_bytes = 0;
  /// Held while the bytes of an object are moved, which all calls share.
  std::mutex transfer;
  std::unique_ptr<Server> server;
};

}  // namespace review

#endif  // REVIEW_LIB_2_STORE_H_
