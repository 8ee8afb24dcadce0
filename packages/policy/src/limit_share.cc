#include "gypsumtrack/policy/limit_share.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Stands for an empty name or address in a row.
constexpr std::string_view kEmptyField = "-";

/// Returns amount * numerator / denominator, rounded down, without overflow.
std::int64_t Scale(std::int64_t amount, std::int64_t numerator,
                   std::int64_t denominator) {
  if (denominator <= 0) return 0;
  const auto whole = amount / denominator * numerator;
  const auto rest = amount % denominator;
  return whole +
         static_cast<std::int64_t>(static_cast<long double>(rest) *
                                   static_cast<long double>(numerator) /
                                   static_cast<long double>(denominator));
}

/// Reduces the own share by its part of the excess of all shares over the
/// limit. `reduced_total` is the sum of the shares that already follow the
/// limit.
std::int64_t ReduceForExcess(std::int64_t own, std::int64_t reduced_total,
                             std::int64_t excess) {
  if (excess <= 0) return own;
  const auto reduction =
      Scale(own, excess, std::max<std::int64_t>(reduced_total, 1));
  return std::max<std::int64_t>(0, own - reduction - 1);
}

/// Distributes unassigned quota in proportion among the shares that already
/// follow the row's limit. The remainder goes to `own` once all follow it, or
/// if the others are overdue.
void DistributeFreeQuota(ShareRow& row, DomainShare& own,
                         bool reduction_overdue) {
  const auto sum = SumOfShares(row);
  const auto free = AtLeastZero(row.limit - sum);
  if (IsZero(free)) return;
  const auto count = static_cast<std::int64_t>(row.domains.size());
  for (auto& share : row.domains) {
    if (share.applied_limit != row.limit) continue;
    const auto rate = sum.rate > 0
                          ? Scale(free.rate, share.share.rate, sum.rate)
                          : free.rate / count;
    const auto capacity =
        sum.capacity > 0
            ? Scale(free.capacity, share.share.capacity, sum.capacity)
            : free.capacity / count;
    const Quota increase{
        rate, capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest};
    if (!IsZero(increase)) share.unused = false;
    share.share += increase;
  }
  const auto all_applied = std::all_of(
      row.domains.begin(), row.domains.end(),
      [&](const auto& share) { return share.applied_limit == row.limit; });
  if (all_applied || reduction_overdue) {
    own.share += AtLeastZero(row.limit - SumOfShares(row));
  }
}

}  // namespace

std::string ShareRowKey(const LimitKey& key) {
  return "limits/share/" + key.text;
}

std::string FormatShareRow(const ShareRow& row) {
  auto text = fmt::format("{} {} {}\n", row.revision, row.limit.rate,
                          row.limit.capacity);
  for (const auto& share : row.domains) {
    const auto& home = share.home;
    text += fmt::format(
        "{} {} {} {} {} {} {} {} {} {}\n", share.domain.text, share.share.rate,
        share.share.capacity, share.applied_limit.rate,
        share.applied_limit.capacity, share.revision,
        home.vm.name.empty() ? kEmptyField : home.vm.name, home.vm.incarnation,
        home.address.empty() ? kEmptyField : home.address,
        share.unused ? 1 : 0);
  }
  return text;
}

std::optional<ShareRow> ParseShareRow(const std::string& text) {
  std::istringstream in(text);
  ShareRow row;
  if (!(in >> row.revision >> row.limit.rate >> row.limit.capacity)) {
    return std::nullopt;
  }
  DomainShare share;
  auto& home = share.home;
  while (in >> share.domain.text >> share.share.rate >> share.share.capacity >>
         share.applied_limit.rate >> share.applied_limit.capacity >>
         share.revision >> home.vm.name >> home.vm.incarnation >>
         home.address >> share.unused) {
    if (home.vm.name == kEmptyField) home = {};
    row.domains.push_back(share);
  }
  return row;
}

DomainShare* FindShare(ShareRow& row, const base::FailureDomain& domain) {
  const auto found =
      std::find_if(row.domains.begin(), row.domains.end(),
                   [&](const auto& share) { return share.domain == domain; });
  return found == row.domains.end() ? nullptr : &*found;
}

const DomainShare* FindShare(const ShareRow& row,
                             const base::FailureDomain& domain) {
  const auto found =
      std::find_if(row.domains.begin(), row.domains.end(),
                   [&](const auto& share) { return share.domain == domain; });
  return found == row.domains.end() ? nullptr : &*found;
}

Quota SumOfShares(const ShareRow& row) {
  Quota sum;
  for (const auto& share : row.domains) sum += share.share;
  return sum;
}

ShareRow DivideLimit(const LimitKey& key, base::Revision revision,
                     const Quota& limit,
                     std::vector<base::FailureDomain> domains) {
  ShareRow row{revision, limit, {}};
  if (domains.empty()) return row;
  std::sort(domains.begin(), domains.end());
  const auto start = base::Hash64(key.text) % domains.size();
  std::rotate(domains.begin(),
              domains.begin() + static_cast<std::ptrdiff_t>(start),
              domains.end());
  const auto count = static_cast<std::int64_t>(domains.size());
  const auto requests = limit.capacity / kMicroRequestsPerRequest;
  std::int64_t position = 0;
  for (const auto& domain : domains) {
    DomainShare share;
    share.domain = domain;
    const auto extra = position < requests % count ? 1 : 0;
    share.share.capacity =
        (requests / count + extra) * kMicroRequestsPerRequest;
    share.share.rate = Scale(limit.rate, share.share.capacity, limit.capacity);
    share.applied_limit = limit;
    share.revision = revision;
    share.unused = true;
    row.domains.push_back(std::move(share));
    ++position;
  }
  row.domains.front().share += limit - SumOfShares(row);
  return row;
}

Quota ScaleDownShare(const DomainShare& share, const Quota& limit) {
  auto scaled = share.share;
  if (limit.rate < share.applied_limit.rate) {
    scaled.rate = Scale(scaled.rate, limit.rate, share.applied_limit.rate);
  }
  if (limit.capacity < share.applied_limit.capacity) {
    scaled.capacity =
        Scale(scaled.capacity, limit.capacity, share.applied_limit.capacity);
    scaled.capacity =
        scaled.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  }
  return Min(scaled, limit);
}

std::optional<ShareRow> ReconcileShareRow(const ShareRow& row,
                                          const base::FailureDomain& own_domain,
                                          base::Revision revision,
                                          const Quota& limit,
                                          bool reduction_overdue) {
  if (row.revision > revision) return std::nullopt;
  auto next = row;
  auto* own = FindShare(next, own_domain);
  if (own == nullptr) {
    next.domains.push_back({own_domain, {}, limit, revision, {}});
    own = &next.domains.back();
  }
  // A newer revision alone, without a changed limit, needs no write.
  if (next.limit != limit) {
    next.revision = revision;
    next.limit = limit;
  }
  if (own->applied_limit != limit) {
    own->share = ScaleDownShare(*own, limit);
    own->applied_limit = limit;
    own->revision = revision;
  }
  const auto excess = SumOfShares(next) - limit;
  if (reduction_overdue && (excess.rate > 0 || excess.capacity > 0)) {
    Quota reduced_total;
    for (const auto& share : next.domains) {
      if (share.applied_limit == limit) reduced_total += share.share;
    }
    own->share.rate =
        ReduceForExcess(own->share.rate, reduced_total.rate, excess.rate);
    own->share.capacity = ReduceForExcess(
        own->share.capacity, reduced_total.capacity, excess.capacity);
  }
  DistributeFreeQuota(next, *own, reduction_overdue);
  if (next == row) return std::nullopt;
  return next;
}

ShareRow TransferShare(ShareRow row, const base::FailureDomain& from,
                       const base::FailureDomain& to, const Quota& amount) {
  for (const auto& domain : {from, to}) FindShare(row, domain)->unused = false;
  FindShare(row, from)->share -= amount;
  FindShare(row, to)->share += amount;
  return row;
}

}  // namespace gypsumtrack::policy
