#include "gypsumtrack/policy/limit_share.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

constexpr std::string_view kNoHome = "-";

/// amount * numerator / denominator without overflow, rounded down.
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

/// Cuts the own share by its part of what the sum is above the limit.
std::int64_t GiveWay(std::int64_t own, std::int64_t cut_already,
                     std::int64_t excess) {
  if (excess <= 0) return own;
  const auto part = Scale(own, excess, std::max<std::int64_t>(cut_already, 1));
  return std::max<std::int64_t>(0, own - part - 1);
}

/// Raises shares that have been set under the row's limit, in proportion.
void ShareOut(ShareRow& row, DomainShare& own, bool overdue) {
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
    const Quota more{
        rate, capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest};
    if (!IsZero(more)) share.unused = false;
    share.share += more;
  }
  const auto settled = std::all_of(
      row.domains.begin(), row.domains.end(),
      [&](const auto& share) { return share.applied_limit == row.limit; });
  if (settled || overdue) {
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
        home.vm.name.empty() ? kNoHome : home.vm.name, home.vm.incarnation,
        home.address.empty() ? kNoHome : home.address, share.unused ? 1 : 0);
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
    if (home.vm.name == kNoHome) home = {};
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

Quota CutShare(const DomainShare& share, const Quota& limit) {
  auto cut = share.share;
  if (limit.rate < share.applied_limit.rate) {
    cut.rate = Scale(cut.rate, limit.rate, share.applied_limit.rate);
  }
  if (limit.capacity < share.applied_limit.capacity) {
    cut.capacity =
        Scale(cut.capacity, limit.capacity, share.applied_limit.capacity);
    cut.capacity =
        cut.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  }
  return Min(cut, limit);
}

std::optional<ShareRow> AdjustRow(const ShareRow& row,
                                  const base::FailureDomain& own_domain,
                                  base::Revision revision, const Quota& limit,
                                  bool overdue) {
  if (row.revision > revision) return std::nullopt;
  auto next = row;
  auto* own = FindShare(next, own_domain);
  if (own == nullptr) {
    next.domains.push_back({own_domain, {}, limit, revision, {}});
    own = &next.domains.back();
  }
  // A revision that leaves this limit alone is no reason to write.
  if (next.limit != limit) {
    next.revision = revision;
    next.limit = limit;
  }
  if (own->applied_limit != limit) {
    own->share = CutShare(*own, limit);
    own->applied_limit = limit;
    own->revision = revision;
  }
  const auto excess = SumOfShares(next) - limit;
  if (overdue && (excess.rate > 0 || excess.capacity > 0)) {
    Quota cut_already;
    for (const auto& share : next.domains) {
      if (share.applied_limit == limit) cut_already += share.share;
    }
    own->share.rate = GiveWay(own->share.rate, cut_already.rate, excess.rate);
    own->share.capacity =
        GiveWay(own->share.capacity, cut_already.capacity, excess.capacity);
  }
  ShareOut(next, *own, overdue);
  if (next == row) return std::nullopt;
  return next;
}

ShareRow MoveShare(ShareRow row, const base::FailureDomain& from,
                   const base::FailureDomain& to, const Quota& part) {
  for (const auto& domain : {from, to}) FindShare(row, domain)->unused = false;
  FindShare(row, from)->share -= part;
  FindShare(row, to)->share += part;
  return row;
}

}  // namespace gypsumtrack::policy
