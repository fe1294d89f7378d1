#pragma once

#include <optional>
#include <string_view>

namespace Tarragon {

/// Whether a target may have run a request that has failed. The values are ordered by the progress
/// that the request may have made.
enum class Verdict {
    /// No target has started the request; it may be sent again.
    NotRun,
    /// A target may have started the request.
    MayHaveRun,
    /// A target has run the request.
    Ran,
};

/// Returns the verdict of a request two of whose attempts ended with the given verdicts: the one
/// with more progress.
constexpr Verdict combined(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

/// Returns the spelling used in headers and bodies: "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);

/// Parses a verdict as toString() spells it. Returns nothing for any other text.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace Tarragon
