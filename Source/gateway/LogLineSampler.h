#pragma once

#include "net/LogBuffer.h"
#include "routing/TokenBucket.h"

#include <cstdint>
#include <optional>

namespace Tarragon {

/// Decides which log lines of a frequent kind are written: at most a given rate, and only while the
/// log buffer has space left for more important lines.
class LogLineSampler
{
public:
    /// Limits lines to `perSecond`; a burst may have as many lines as one second.
    LogLineSampler(const LogBuffer &buffer, double perSecond);

    /// Returns the number of lines skipped since the last admitted one, or nothing if this line
    /// must be skipped too.
    std::optional<std::uint64_t> admit(MonotonicTime now);
    /// Number of lines skipped since the start.
    std::uint64_t skipped() const { return m_skipped; }

private:
    const LogBuffer &m_buffer;
    TokenBucket m_tokens;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_skippedAtLastAdmission = 0;
};

} // namespace Tarragon
