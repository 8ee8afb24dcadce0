#ifndef GYPSUMTRACK_PLATFORM_CODEC_H_
#define GYPSUMTRACK_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// The JSON bodies of the platform's HTTP interface. Strings may hold any
/// bytes. Parsers answer kInvalid for a malformed text. All thread-safe.
namespace gypsumtrack::platform {

std::string FormatCommit(const base::TableCommit& commit);
base::Outcome<base::TableCommit> ParseCommit(std::string_view text);

std::string FormatScan(const base::TableScan& scan);
base::Outcome<base::TableScan> ParseScan(std::string_view text);

std::string FormatScanReply(const base::ScanReply& reply);
base::Outcome<base::ScanReply> ParseScanReply(std::string_view text);

std::string FormatVms(const std::vector<base::ListedVm>& vms);
base::Outcome<std::vector<base::ListedVm>> ParseVms(std::string_view text);

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_CODEC_H_
