#include "gypsumtrack/policy/serving/request_fingerprint.h"

#include <string>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// 128 bits.
constexpr std::size_t kFingerprintDigits = 32;
/// Stands in no name, method or path.
constexpr char kSeparator = '\0';

}  // namespace

RequestFingerprint FingerprintOf(const base::Organisation& organisation,
                                 std::string_view method, std::string_view path,
                                 std::string_view body) {
  std::string content = organisation.text;
  content += kSeparator;
  content += method;
  content += kSeparator;
  content += path;
  content += kSeparator;
  content += body;
  return RequestFingerprint(
      base::Sha256Hex(content).substr(0, kFingerprintDigits));
}

}  // namespace gypsumtrack::policy
