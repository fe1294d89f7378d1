#include "document/JsonFields.h"

#include "base/Error.h"

namespace Tarragon {

namespace {

using nlohmann::json;

[[noreturn]] void fail(const char *key, const json &found, const char *expected)
{
    throw Error(std::string("key \"") + key + "\": found " + found.type_name() + ", expected "
                + expected);
}

} // namespace

json parseJsonObject(const std::string &text)
{
    json value;
    try {
        value = json::parse(text);
    } catch (const json::parse_error &e) {
        throw Error("found text that is not JSON, expected an object: " + std::string(e.what()));
    }
    if (!value.is_object()) {
        throw Error(std::string("found ") + value.type_name() + ", expected an object");
    }
    return value;
}

const json &jsonMember(const json &object, const char *key)
{
    if (!object.is_object()) {
        fail(key, object, "an object with this key");
    }
    const auto it = object.find(key);
    if (it == object.end()) {
        throw Error(std::string("key \"") + key + "\": found nothing, expected a value");
    }
    return *it;
}

const json &jsonObject(const json &object, const char *key)
{
    const json &value = jsonMember(object, key);
    if (!value.is_object()) {
        fail(key, value, "an object");
    }
    return value;
}

const json &jsonArray(const json &object, const char *key)
{
    const json &value = jsonMember(object, key);
    if (!value.is_array()) {
        fail(key, value, "an array");
    }
    return value;
}

std::string jsonText(const json &object, const char *key)
{
    const json &value = jsonMember(object, key);
    if (!value.is_string()) {
        fail(key, value, "a string");
    }
    return value.get<std::string>();
}

std::string jsonTextOrEmpty(const json &object, const char *key)
{
    const auto it = object.find(key);
    return it == object.end() || it->is_null() ? std::string() : jsonText(object, key);
}

std::uint64_t jsonNumber(const json &object, const char *key)
{
    const json &value = jsonMember(object, key);
    if (!value.is_number_unsigned()) {
        fail(key, value, "a whole number from 0");
    }
    return value.get<std::uint64_t>();
}

bool jsonBool(const json &object, const char *key)
{
    const json &value = jsonMember(object, key);
    if (!value.is_boolean()) {
        fail(key, value, "true or false");
    }
    return value.get<bool>();
}

std::string dumpJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace Tarragon
