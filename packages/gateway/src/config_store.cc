#include "gypsumtrack/gateway/config_store.h"

#include <fmt/format.h>

#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "gypsumtrack/peer/config_codec.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::string_view kHeadKey = "config/head";
constexpr std::string_view kLogPrefix = "config/log/";
constexpr std::string_view kSnapshotKey = "config/snapshot";
constexpr std::uint32_t kPageRows = 500;
/// Maximum number of rows that one commit deletes.
constexpr std::uint32_t kMaxDeletedRows = 200;

using SnapshotReply = base::Outcome<std::optional<policy::ConfigState>>;

/// Revisions are zero-padded, so that keys sort in the order of revisions.
std::string LogKey(base::Revision revision) {
  return fmt::format("{}{:020}", kLogPrefix, revision);
}

std::string SnapshotObject(base::Revision revision) {
  return fmt::format("{}/{:020}", kSnapshotKey, revision);
}

std::optional<base::Revision> ParseRevision(std::string_view text) {
  base::Revision revision = 0;
  const auto end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, revision);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  return revision;
}

/// State of a store request, kept alive by the handlers of its platform calls.
struct StoreCall {
  platform::Platform platform;
  base::VmId vm;
  base::Instant deadline;
  StoreReplyHandler handler;
};

base::Outcome<policy::LogPage> DecodePage(const base::ScanReply& reply) {
  policy::LogPage page;
  page.has_more = reply.more;
  for (const auto& row : reply.rows) {
    const auto value = peer::ReadJson(row.value);
    if (!value.ok()) return value.error();
    auto change = peer::DecodeChange(*value);
    if (!change.ok()) return change.error();
    page.changes.push_back(std::move(*change));
  }
  return page;
}

/// Carries out each kind of store request.
struct RequestVisitor {
  std::shared_ptr<StoreCall> call;

  void operator()(const policy::ReadLog& read) const {
    const base::TableScan scan{std::string(kLogPrefix), LogKey(read.after),
                               kPageRows};
    this->call->platform.table.scan(
        scan, this->call->deadline,
        [call = this->call](const base::Outcome<base::ScanReply>& reply) {
          if (!reply.ok()) {
            call->handler(base::Outcome<policy::LogPage>(reply.error()));
          } else {
            call->handler(DecodePage(*reply));
          }
        });
  }

  void operator()(const policy::ReadSnapshot& /*read*/) const {
    this->call->platform.table.scan(
        {.prefix = std::string(kSnapshotKey), .limit = 1}, this->call->deadline,
        [call = this->call](const base::Outcome<base::ScanReply>& reply) {
          if (!reply.ok()) {
            call->handler(SnapshotReply(reply.error()));
          } else if (reply->rows.empty()) {
            call->handler(SnapshotReply(std::nullopt));
          } else {
            FetchSnapshot(call, reply->rows.front().value);
          }
        });
  }

  void operator()(const policy::CommitChange& commit) const {
    const auto& change = commit.change;
    const auto text = fmt::format("{}", change.revision);
    base::TableCommit rows;
    rows.operation_id =
        fmt::format("config/{}@{}/{}-{}", change.operation_id, text,
                    this->call->vm.name, this->call->vm.incarnation);
    rows.conditions = {{std::string(kHeadKey), change.revision - 1}};
    rows.writes = {
        {std::string(kHeadKey), text},
        {LogKey(change.revision), peer::WriteJson(peer::EncodeChange(change))}};
    this->call->platform.table.commit(
        std::move(rows), this->call->deadline,
        [call = this->call](base::Status status) { call->handler(status); });
  }

  void operator()(const policy::WriteSnapshot& write) const {
    const auto revision = write.state.revision;
    auto bytes = peer::WriteJson(peer::EncodeConfigState(write.state));
    this->call->platform.objects.put(
        SnapshotObject(revision), std::move(bytes), this->call->deadline,
        [call = this->call, revision,
         drop_up_to = write.drop_up_to](const base::Status& status) {
          if (!status.ok()) {
            call->handler(status);
          } else {
            ReadPreviousSnapshot(call, revision, drop_up_to);
          }
        });
  }

 private:
  static void FetchSnapshot(const std::shared_ptr<StoreCall>& call,
                            const std::string& object) {
    call->platform.objects.get(object, call->deadline,
                               [call](const base::Outcome<std::string>& bytes) {
                                 call->handler(DecodeSnapshot(bytes));
                               });
  }

  static SnapshotReply DecodeSnapshot(const base::Outcome<std::string>& bytes) {
    if (!bytes.ok()) return bytes.error();
    const auto value = peer::ReadJson(*bytes);
    if (!value.ok()) return value.error();
    auto state = peer::DecodeConfigState(*value);
    if (!state.ok()) return state.error();
    return SnapshotReply(std::move(*state));
  }

  static void ReadPreviousSnapshot(const std::shared_ptr<StoreCall>& call,
                                   base::Revision revision,
                                   base::Revision drop_up_to) {
    call->platform.table.scan(
        {.prefix = std::string(kSnapshotKey), .limit = 1}, call->deadline,
        [call, revision,
         drop_up_to](const base::Outcome<base::ScanReply>& reply) {
          if (!reply.ok()) {
            call->handler(base::Status(reply.error()));
            return;
          }
          base::Row previous;
          if (!reply->rows.empty()) previous = reply->rows.front();
          ReplaceSnapshot(call, previous, revision, drop_up_to);
        });
  }

  static void ReplaceSnapshot(const std::shared_ptr<StoreCall>& call,
                              const base::Row& previous,
                              base::Revision revision,
                              base::Revision drop_up_to) {
    const auto object = SnapshotObject(revision);
    // Names with zero-padded revisions compare as the revisions do.
    if (previous.version != 0 && previous.value >= object) {
      call->handler(base::Status(base::Done{}));
      return;
    }
    base::TableCommit rows;
    rows.operation_id = fmt::format("config/snapshot@{}/{}-{}", revision,
                                    call->vm.name, call->vm.incarnation);
    rows.conditions = {{std::string(kSnapshotKey), previous.version}};
    rows.writes = {{std::string(kSnapshotKey), object}};
    call->platform.table.commit(
        std::move(rows), call->deadline,
        [call, previous, drop_up_to](const base::Status& status) {
          if (!status.ok()) {
            call->handler(status);
            return;
          }
          if (previous.version != 0) {
            call->platform.objects.remove(previous.value, call->deadline,
                                          [](const base::Status&) {});
          }
          DeleteLogRows(call, drop_up_to);
        });
  }

  /// Deletes the log rows up to revision `drop_up_to` in several commits. Rows
  /// that are left at the deadline are deleted after the next snapshot.
  static void DeleteLogRows(const std::shared_ptr<StoreCall>& call,
                            base::Revision drop_up_to) {
    call->platform.table.scan(
        {.prefix = std::string(kLogPrefix), .limit = kMaxDeletedRows},
        call->deadline,
        [call, drop_up_to](const base::Outcome<base::ScanReply>& reply) {
          base::TableCommit rows;
          const auto last = LogKey(drop_up_to);
          if (reply.ok()) {
            for (const auto& row : reply->rows) {
              if (row.key > last) break;
              rows.writes.push_back({row.key, std::nullopt});
            }
          }
          if (rows.writes.empty()) {
            call->handler(base::Status(base::Done{}));
            return;
          }
          const auto first =
              ParseRevision(rows.writes.front().key.substr(kLogPrefix.size()));
          rows.operation_id = fmt::format("config/drop@{}-{}/{}-{}",
                                          first.value_or(0), rows.writes.size(),
                                          call->vm.name, call->vm.incarnation);
          call->platform.table.commit(
              std::move(rows), call->deadline,
              [call, drop_up_to](const base::Status& status) {
                if (status.ok()) {
                  DeleteLogRows(call, drop_up_to);
                } else {
                  call->handler(status);
                }
              });
        });
  }
};

}  // namespace

void CallConfigStore(const platform::Platform& platform, const base::VmId& vm,
                     const policy::StoreRequest& request,
                     base::Instant deadline, StoreReplyHandler handler) {
  auto call = std::make_shared<StoreCall>(
      StoreCall{platform, vm, deadline, std::move(handler)});
  std::visit(RequestVisitor{std::move(call)}, request);
}

}  // namespace gypsumtrack::gateway
