#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Tarragon {

// Typed access to the keys of a JSON object. The functions that read a key throw Error with the
// key, the type that was found and what was expected.

/// Parses a text that must be a JSON object. Throws Error otherwise.
nlohmann::json parseJsonObject(const std::string &text);

/// Returns the value of a required key.
const nlohmann::json &jsonMember(const nlohmann::json &object, const char *key);

/// Returns the object under a required key.
const nlohmann::json &jsonObject(const nlohmann::json &object, const char *key);

/// Returns the array under a required key.
const nlohmann::json &jsonArray(const nlohmann::json &object, const char *key);

/// Returns the string under a required key.
std::string jsonText(const nlohmann::json &object, const char *key);

/// Returns the string under an optional key; empty if the key is absent or its value is null.
std::string jsonTextOrEmpty(const nlohmann::json &object, const char *key);

/// Returns the non-negative integer under a required key.
std::uint64_t jsonNumber(const nlohmann::json &object, const char *key);

/// Returns the boolean under a required key.
bool jsonBool(const nlohmann::json &object, const char *key);

/// Returns the value as text on one line. Replaces bytes that are not valid UTF-8.
std::string dumpJson(const nlohmann::json &value);

} // namespace Tarragon
