#ifndef GYPSUMTRACK_POLICY_LIMIT_SHARE_H_
#define GYPSUMTRACK_POLICY_LIMIT_SHARE_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/limit_messages.h"

/// Division of a limit among failure domains, stored as one table row per
/// limit.
namespace gypsumtrack::policy {

/// What one domain may use of a limit.
struct DomainShare {
  base::FailureDomain domain;
  Quota share;
  /// The limit under which the domain last set its own share.
  Quota applied_limit;
  /// Rule revision of `applied_limit`.
  base::Revision revision = 0;
  /// The VM that lends the share; an empty name if there is none yet.
  LimitPeer home;
  /// Whether the share is as first divided and was never lent, so that its
  /// burst is unspent.
  bool unused = false;

  bool operator==(const DomainShare&) const = default;
};

/// The shares of all domains. Only a domain's own home lowers its share, after
/// it has stopped using the difference. Any home may raise a share as long as
/// the sum stays within the limit. Each domain has at most one entry.
struct ShareRow {
  base::Revision revision = 0;
  Quota limit;
  std::vector<DomainShare> domains;

  bool operator==(const ShareRow&) const = default;
};

// All functions below are thread-safe.

/// Returns the table key of a limit's share row.
std::string ShareRowKey(const LimitKey& key);
/// Formats a row as stored in the table: the limit, then one line per domain.
std::string FormatShareRow(const ShareRow& row);
/// Returns none if the first line is malformed. Domains after a malformed line
/// are left out.
std::optional<ShareRow> ParseShareRow(const std::string& text);

/// Returns the domain's entry, or null.
DomainShare* FindShare(ShareRow& row, const base::FailureDomain& domain);
const DomainShare* FindShare(const ShareRow& row,
                             const base::FailureDomain& domain);
/// Adds up the shares of all domains.
Quota SumOfShares(const ShareRow& row);

/// Divides a limit equally, in whole requests of capacity. The key determines
/// which domains get one request more.
ShareRow DivideLimit(const LimitKey& key, base::Revision revision,
                     const Quota& limit,
                     std::vector<base::FailureDomain> domains);

/// Returns what a domain may use under `limit` until its row has been updated:
/// its share, scaled down if `limit` is lower than the limit under which the
/// share was set.
Quota ScaleDownShare(const DomainShare& share, const Quota& limit);

/// Returns the row that the home of `own` should write next, or none if `row`
/// is up to date. Records a newer limit and scales the own share down to it.
/// With `reduction_overdue`, domains that haven't reduced their shares are
/// taken to be unreachable: the own share shrinks to make up for them, and
/// unassigned quota goes to the own domain.
std::optional<ShareRow> ReconcileShareRow(const ShareRow& row,
                                          const base::FailureDomain& own,
                                          base::Revision revision,
                                          const Quota& limit,
                                          bool reduction_overdue);

/// Moves `amount` of quota between two domains. Preconditions: both have an
/// entry, and the share of `from` isn't less than `amount`.
ShareRow TransferShare(ShareRow row, const base::FailureDomain& from,
                       const base::FailureDomain& to, const Quota& amount);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_SHARE_H_
