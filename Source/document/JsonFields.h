#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Tarragon {

// Each function reads one key of a JSON object. All throw Error that names the key, what was found
// and what was expected.

/// Parses a text as a JSON object.
nlohmann::json parseJsonObject(const std::string &text);

/// The value of a key that must be there.
const nlohmann::json &jsonMember(const nlohmann::json &object, const char *key);

/// The object under a key.
const nlohmann::json &jsonObject(const nlohmann::json &object, const char *key);

/// The array under a key.
const nlohmann::json &jsonArray(const nlohmann::json &object, const char *key);

/// The string under a key.
std::string jsonText(const nlohmann::json &object, const char *key);

/// The string under a key that may be absent or null; then empty.
std::string jsonTextOrEmpty(const nlohmann::json &object, const char *key);

/// The number from 0 under a key.
std::uint64_t jsonNumber(const nlohmann::json &object, const char *key);

/// The boolean under a key.
bool jsonBool(const nlohmann::json &object, const char *key);

/// The value as text on one line; bytes that are not UTF-8 are replaced.
std::string dumpJson(const nlohmann::json &value);

} // namespace Tarragon
