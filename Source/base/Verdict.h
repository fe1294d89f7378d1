#pragma once

#include <optional>
#include <string_view>

namespace Tarragon {

/// Tells whether a request that has failed may have been run by a target. Ordered by how far the
/// request may have got.
enum class Verdict {
    /// No target has started the request; it may be sent again.
    NotRun,
    /// A target may have started the request.
    MayHaveRun,
    /// A target has run the request.
    Ran,
};

/// The verdict that holds when two attempts of the same request ended with the given verdicts.
constexpr Verdict combined(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

/// The spelling used in headers and bodies: "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);

/// Parses the spelling of toString(); nothing if the text is none of them.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace Tarragon
