#include "store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <thread>

#include "names.h"

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
/// DEPLOY.md: txMs, blobMs and historyS of the sites; the pages' limits.
constexpr milliseconds kTransactionTime(5);
constexpr milliseconds kReadTime(4);
constexpr milliseconds kObjectTime(25);
/// blobMbS.
constexpr std::size_t kObjectBytesPerMilli = 80'000;
constexpr std::chrono::seconds kHistory(20);
constexpr std::size_t kMaxRowsPerPage = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = 1'048'576;
constexpr std::size_t kMaxObjectBytes = 8'388'608;
constexpr std::size_t kMaxAllObjectBytes = 400'000'000;
constexpr std::size_t kMaxEncodedRowBytes = 65'536 / 3 * 4 + 4;
constexpr std::uint64_t kMaxWaitMillis = 30'000;

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const unsigned char byte : bytes) {
    bits = (bits << 8) | byte;
    count += 8;
    for (; count >= 6; count -= 6) out += kBase64[(bits >> (count - 6)) & 63];
  }
  if (count > 0) out += kBase64[(bits << (6 - count)) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

std::uint64_t ToNumber(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

std::string Text(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->get_string());
}

}  // namespace

Store::Store() {
  this->server = std::make_unique<Server>(
      [this](const Request& request, Socket& socket) {
        return this->Serve(request, socket);
      },
      kMaxHeadBytes);
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const auto encoded = EncodeBase64(value);
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->Apply({table, "", key}, &encoded);
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->Apply({table, "", key}, nullptr);
}

std::size_t Store::ObjectBytes() {
  const std::lock_guard lock(this->mutex);
  return this->object_bytes;
}

void Store::Apply(const RowKey& at, const std::string* value) {
  const auto now = Clock::now();
  if (value != nullptr) {
    this->rows[at] = {*value, this->version};
    this->history.push_back({at, this->rows[at], false, now});
  } else if (this->rows.erase(at) > 0) {
    this->history.push_back({at, {"", this->version}, true, now});
  }
  while (!this->history.empty() &&
         now - this->history.front().made_at > kHistory) {
    this->history_from = this->history.front().row.version;
    this->history.pop_front();
  }
  this->changed.notify_all();
}

std::uint64_t Store::NowMillis() const {
  const auto since = Clock::now() - this->started_at;
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(since).count());
}

bool Store::Serve(const Request& request, Socket& socket) {
  std::pair<unsigned, std::string> answer{400, "{}"};
  try {
    answer = this->Dispatch(request);
  } catch (const std::exception&) {
    answer = {400, "{}"};
  }
  return Respond(socket, answer.first, {{"Content-Type", "application/json"}},
                 answer.second);
}

std::pair<unsigned, std::string> Store::Dispatch(const Request& request) {
  if (request.path == Name("store.transact")) {
    std::this_thread::sleep_for(kTransactionTime);
    return this->Transact(request.body);
  }
  if (request.path == Name("store.read")) {
    std::this_thread::sleep_for(kReadTime);
    return this->Read(request);
  }
  if (request.path == Name("store.partitions"))
    return this->ListPartitions(request);
  if (request.path == Name("store.feed")) return this->Feed(request);
  std::this_thread::sleep_for(kObjectTime);
  const auto name = request.path.substr(request.path.rfind('/') + 1);
  if (request.path.starts_with(Name("store.put_object"))) {
    const std::lock_guard lock(this->transfer);
    std::this_thread::sleep_for(
        milliseconds(request.body.size() / kObjectBytesPerMilli));
    return this->PutObject(request);
  }
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) return {404, "{}"};
  if (request.path.starts_with(Name("store.get_object")))
    return {200, found->second};
  if (!request.path.starts_with(Name("store.drop_object"))) return {400, "{}"};
  this->object_bytes -= found->second.size();
  this->objects.erase(found);
  return {200, "{}"};
}

std::pair<unsigned, std::string> Store::PutObject(const Request& request) {
  const auto name = request.path.substr(request.path.rfind('/') + 1);
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(name);
  const bool exists = found != this->objects.end();
  if (exists && request.Header("If-None-Match") == "*") return {412, "{}"};
  if (request.body.size() > kMaxObjectBytes) return {400, "{}"};
  if (this->object_bytes + request.body.size() > kMaxAllObjectBytes)
    return {507, "{}"};
  if (exists) this->object_bytes -= found->second.size();
  this->object_bytes += request.body.size();
  this->objects[name] = request.body;
  return {200, "{}"};
}

namespace {

std::tuple<std::string, std::string, std::string> KeyOf(
    const json::object& object) {
  return {Text(object, "table"), Text(object, "part"), Text(object, "key")};
}

json::object Describe(
    const std::tuple<std::string, std::string, std::string>& at) {
  return {{"table", std::get<0>(at)},
          {"part", std::get<1>(at)},
          {"key", std::get<2>(at)}};
}

}  // namespace

std::pair<unsigned, std::string> Store::Transact(const std::string& body) {
  const auto call = json::parse(body).as_object();
  const auto& expected = call.at("expect").as_array();
  const auto& puts = call.at("puts").as_array();
  const auto& removals = call.at("remove").as_array();
  const auto entries = expected.size() + puts.size() + removals.size();
  if (entries > kMaxEntries || body.size() > kMaxCallBytes) return {400, "{}"};
  for (const auto& put : puts) {
    const auto table = Text(put.as_object(), "table");
    if (table == "op" || table == "servers") return {403, "{}"};
    if (Text(put.as_object(), "value").size() > kMaxEncodedRowBytes)
      return {400, "{}"};
  }
  const std::lock_guard lock(this->mutex);
  bool holds = true;
  json::array current;
  for (const auto& each : expected) {
    const auto at = KeyOf(each.as_object());
    const auto found = this->rows.find(at);
    const auto have = found == this->rows.end() ? 0 : found->second.version;
    const auto due = each.as_object().at("ver").to_number<std::uint64_t>();
    holds = holds && have == due;
    if (found == this->rows.end()) continue;
    auto row = Describe(at);
    row["value"] = found->second.value;
    row["ver"] = found->second.version;
    current.push_back(std::move(row));
  }
  if (!holds) {
    return {412, json::serialize(json::object{{"rows", std::move(current)},
                                              {"ver", this->version},
                                              {"nowMs", this->NowMillis()}})};
  }
  ++this->version;
  for (const auto& put : puts) {
    const auto value = Text(put.as_object(), "value");
    this->Apply(KeyOf(put.as_object()), &value);
  }
  for (const auto& each : removals)
    this->Apply(KeyOf(each.as_object()), nullptr);
  return {200, json::serialize(json::object{{"ver", this->version},
                                            {"nowMs", this->NowMillis()}})};
}

std::pair<unsigned, std::string> Store::Read(const Request& request) {
  const auto table = request.Parameter("table");
  const auto part = request.Parameter("part");
  const auto until = request.Parameter("target");
  const auto limit =
      std::min<std::uint64_t>(ToNumber(request.Parameter("limit"), 500), 500);
  json::array page;
  std::size_t bytes = 0;
  bool more = false;
  const std::lock_guard lock(this->mutex);
  const RowKey first{table, part, request.Parameter("from")};
  for (auto i = this->rows.lower_bound(first); i != this->rows.end(); ++i) {
    const auto& [row_table, row_part, key] = i->first;
    if (row_table != table || row_part != part) break;
    if (!until.empty() && key >= until) break;
    bytes += i->second.value.size();
    more = page.size() == std::min<std::size_t>(limit, kMaxRowsPerPage) ||
           (!page.empty() && bytes > kMaxPageBytes);
    if (more) break;
    auto row = Describe(i->first);
    row["value"] = i->second.value;
    row["ver"] = i->second.version;
    page.push_back(std::move(row));
  }
  return {200, json::serialize(json::object{{"rows", std::move(page)},
                                            {"hasMore", more},
                                            {"ver", this->version},
                                            {"nowMs", this->NowMillis()}})};
}

std::pair<unsigned, std::string> Store::ListPartitions(const Request& request) {
  const auto table = request.Parameter("table");
  const auto after = request.Parameter("after");
  constexpr std::size_t kMaxParts = 1000;
  json::array parts;
  std::string last;
  bool more = false;
  const std::lock_guard lock(this->mutex);
  for (const auto& [at, row] : this->rows) {
    const auto& part = std::get<1>(at);
    if (std::get<0>(at) != table || (!after.empty() && part <= after)) continue;
    if (!parts.empty() && part == last) continue;
    more = parts.size() == kMaxParts;
    if (more) break;
    parts.emplace_back(part);
    last = part;
  }
  return {200, json::serialize(json::object{{"parts", std::move(parts)},
                                            {"hasMore", more}})};
}

std::pair<unsigned, std::string> Store::Feed(const Request& request) {
  const auto table = request.Parameter("table");
  const auto after = ToNumber(request.Parameter("after"), 0);
  const auto wait =
      std::min(ToNumber(request.Parameter("waitMs"), 0), kMaxWaitMillis);
  const auto until = Clock::now() + milliseconds(wait);
  std::unique_lock lock(this->mutex);
  for (;;) {
    if (after < this->history_from) return {410, "{}"};
    json::array page;
    for (auto i = std::partition_point(
             this->history.begin(), this->history.end(),
             [&](const auto& each) { return each.row.version <= after; });
         i != this->history.end(); ++i) {
      if (std::get<0>(i->at) != table) continue;
      auto row = Describe(i->at);
      row["ver"] = i->row.version;
      if (i->removed) {
        row["removed"] = true;
      } else {
        row["value"] = i->row.value;
      }
      page.push_back(std::move(row));
    }
    const bool is_due = !page.empty() || Clock::now() >= until;
    if (is_due) {
      return {200, json::serialize(json::object{{"rows", std::move(page)},
                                                {"ver", this->version},
                                                {"nowMs", this->NowMillis()}})};
    }
    this->changed.wait_until(lock, until);
  }
}

}  // namespace review
