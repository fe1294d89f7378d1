#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Versions.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Tarragon {

/// Number of a seed within the primary's incarnation. Increases every few minutes and whenever the
/// backup changes. 0 means none.
using SeedGeneration = StrongNumber<struct SeedGenerationTag>;

/// First part of a request id. Names the primary and the backup, the entries that keep the id's
/// record (see AtMostOnceRegistry). The text is
/// "<primary>.<incarnation>.<backup>.<incarnation>.<seed generation>", with the numbers in
/// hexadecimal digits. The caller appends a dot and a part of its own.
struct RequestIdSeed
{
    InstanceId primary;
    Incarnation primaryIncarnation;
    InstanceId backup;
    Incarnation backupIncarnation;
    SeedGeneration generation;

    friend auto operator<=>(const RequestIdSeed &, const RequestIdSeed &) = default;
};

/// Maximum length of a request id, in characters.
constexpr std::size_t MaxRequestIdLength = 256;

/// Returns the text of the seed. Throws Error if an instance id contains a dot, which the text
/// cannot hold.
std::string toString(const RequestIdSeed &seed);

/// Splits a request id into its seed and the caller's part, which must consist of 1 or more
/// letters, digits, '.', '-' or '_'. Returns nothing if the text is not a valid request id.
std::optional<std::pair<RequestIdSeed, std::string>> parseRequestId(std::string_view text);

} // namespace Tarragon
