#ifndef GYPSUMTRACK_GATEWAY_SRC_QUERY_PARAMETERS_H_
#define GYPSUMTRACK_GATEWAY_SRC_QUERY_PARAMETERS_H_

#include <cstdint>
#include <map>
#include <string>

/// Parameters in the query of a request. All functions are thread-safe.
namespace gypsumtrack::gateway {

/// Decoded parameters by name. Of a repeated one, the last counts.
using QueryParameters = std::map<std::string, std::string>;

/// Parses the query of a request; empty if it is malformed.
QueryParameters ParseQuery(const std::string& query);

/// Returns the parameter's value; empty if it is missing.
std::string GetParameter(const QueryParameters& parameters,
                         const std::string& name);

/// Returns the parameter's value; `fallback` if it is missing or no number.
std::uint64_t GetNumber(const QueryParameters& parameters,
                        const std::string& name, std::uint64_t fallback);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_QUERY_PARAMETERS_H_
