#include "query_parameters.h"

#include <boost/url/parse_query.hpp>
#include <charconv>

namespace gypsumtrack::gateway {

QueryParameters ParseQuery(const std::string& query) {
  QueryParameters parameters;
  const auto parsed = boost::urls::parse_query(query);
  if (!parsed) return parameters;
  for (const auto& parameter : *parsed) {
    parameters[parameter.key.decode()] = parameter.value.decode();
  }
  return parameters;
}

std::string GetParameter(const QueryParameters& parameters,
                         const std::string& name) {
  const auto found = parameters.find(name);
  return found == parameters.end() ? "" : found->second;
}

std::uint64_t GetNumber(const QueryParameters& parameters,
                        const std::string& name, std::uint64_t fallback) {
  const auto text = GetParameter(parameters, name);
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return fallback;
  }
  return number;
}

}  // namespace gypsumtrack::gateway
