#pragma once

namespace Tarragon {

/// Exit codes of tarragonctl, as documented in its help and manual pages.
enum class ExitCode {
    Done = 0,
    Usage = 1,
    Findings = 2,
    Conflict = 3,
    Unreachable = 4,
    Refused = 5,
};

} // namespace Tarragon
