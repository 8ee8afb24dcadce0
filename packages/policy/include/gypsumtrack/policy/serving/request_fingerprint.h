#ifndef GYPSUMTRACK_POLICY_SERVING_REQUEST_FINGERPRINT_H_
#define GYPSUMTRACK_POLICY_SERVING_REQUEST_FINGERPRINT_H_

#include <string_view>

#include "gypsumtrack/base/names.h"

/// Recognizes requests that come again under another id.
namespace gypsumtrack::policy {

/// Equal for requests that make an endpoint do the same.
using RequestFingerprint = base::Name<struct RequestFingerprintTag>;

/// Returns the fingerprint of a request: a digest of its organisation, which is
/// empty for a request without a key, its method, its path without the query,
/// and its body. Callers can't craft a request with the fingerprint of another.
/// Thread-safe.
RequestFingerprint FingerprintOf(const base::Organisation& organisation,
                                 std::string_view method, std::string_view path,
                                 std::string_view body);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_REQUEST_FINGERPRINT_H_
