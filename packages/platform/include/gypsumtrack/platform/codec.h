#ifndef GYPSUMTRACK_PLATFORM_CODEC_H_
#define GYPSUMTRACK_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// JSON encoding of the bodies of the platform's HTTP interface. Strings may
/// contain any bytes, also invalid UTF-8. Parsers return kInvalid for malformed
/// text. All functions are thread-safe.
namespace gypsumtrack::platform {

/// Body of a commit to the table.
std::string FormatCommit(const base::TableCommit& commit);
base::Outcome<base::TableCommit> ParseCommit(std::string_view text);

/// Body of a request to scan the table.
std::string FormatScan(const base::TableScan& scan);
base::Outcome<base::TableScan> ParseScan(std::string_view text);

/// Body of the response to a scan.
std::string FormatScanReply(const base::ScanReply& reply);
base::Outcome<base::ScanReply> ParseScanReply(std::string_view text);

/// Body of the response that lists VMs. Fields that only endpoints have are
/// left out for other roles.
std::string FormatVms(const std::vector<base::ListedVm>& vms);
base::Outcome<std::vector<base::ListedVm>> ParseVms(std::string_view text);

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_CODEC_H_
