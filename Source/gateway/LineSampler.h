#pragma once

#include "net/LogBuffer.h"
#include "routing/TokenBucket.h"

#include <cstdint>
#include <optional>

namespace Tarragon {

/// Decides which lines of one frequent sort are logged: up to a rate, and only while the log has
/// room for what matters more.
class LineSampler
{
public:
    /// The rate is in lines a second; as many may come at once.
    LineSampler(const LogBuffer &buffer, double perSecond);

    /// Returns the number of lines left out since the last one that was taken, or nothing if this
    /// one is to be left out too.
    std::optional<std::uint64_t> admit(MonotonicTime now);
    /// Lines left out since the start.
    std::uint64_t skipped() const { return m_skipped; }

private:
    const LogBuffer &m_buffer;
    TokenBucket m_tokens;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_skippedAtLast = 0;
};

} // namespace Tarragon
