#ifndef GYPSUMTRACK_POLICY_LIMIT_SHARE_H_
#define GYPSUMTRACK_POLICY_LIMIT_SHARE_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/limit_messages.h"

/// How a limit is divided among failure domains: one row of the table a limit.
namespace gypsumtrack::policy {

/// What one domain may use.
struct DomainShare {
  base::FailureDomain domain;
  Quota share;
  /// The limit under which the domain last set its own share.
  Quota applied_limit;
  base::Revision revision = 0;
  /// The VM that lends the share out; an empty name if there is none yet.
  LimitPeer home;
  /// As first divided, and never lent out: its burst is unused.
  bool unused = false;

  bool operator==(const DomainShare&) const = default;
};

/// Only a domain's own home lowers its share, after it has stopped using the
/// difference; anyone may raise one as long as the sum stays within the limit.
/// Each domain has at most one entry.
struct ShareRow {
  base::Revision revision = 0;
  Quota limit;
  std::vector<DomainShare> domains;

  bool operator==(const ShareRow&) const = default;
};

// All functions below are thread-safe.

std::string ShareRowKey(const LimitKey& key);
std::string FormatShareRow(const ShareRow& row);
std::optional<ShareRow> ParseShareRow(const std::string& text);

DomainShare* FindShare(ShareRow& row, const base::FailureDomain& domain);
const DomainShare* FindShare(const ShareRow& row,
                             const base::FailureDomain& domain);
Quota SumOfShares(const ShareRow& row);

/// Divides a limit equally, in whole requests of capacity; which domains get
/// one more depends on the key.
ShareRow DivideLimit(const LimitKey& key, base::Revision revision,
                     const Quota& limit,
                     std::vector<base::FailureDomain> domains);

/// What a domain may use under `limit` before its row says so: its share, cut
/// in proportion if the limit is lower than the one that the share was set
/// under.
Quota CutShare(const DomainShare& share, const Quota& limit);

/// The row that the domain's home should write next; none if this one is right.
/// A newer limit is entered and the own share cut to it. With `overdue`,
/// domains that haven't cut theirs are taken to be cut off: the own share gives
/// way for them, and what is free goes to the own domain.
std::optional<ShareRow> AdjustRow(const ShareRow& row,
                                  const base::FailureDomain& own,
                                  base::Revision revision, const Quota& limit,
                                  bool overdue);

/// Moves a part of a share. Precondition: `from` has it, both exist.
ShareRow MoveShare(ShareRow row, const base::FailureDomain& from,
                   const base::FailureDomain& to, const Quota& part);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_SHARE_H_
