#ifndef REVIEW_LIB_2_NAMES_H_
#define REVIEW_LIB_2_NAMES_H_

#include <map>
#include <string>

/// Texts that stand in files beside the code, since the names of the users'
/// pages don't stand in sources.
namespace review {

/// Reads a whole file. Throws std::runtime_error if it can't be read.
std::string ReadFile(const std::string& path);

/// Returns the name that wire.txt gives for `key`. Throws std::out_of_range if
/// there is none. Thread-safe.
const std::string& Name(const std::string& key);

/// Replaces each "@KEY@" in the text by its value.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values);

}  // namespace review

#endif  // REVIEW_LIB_2_NAMES_H_
