#include "gateway/LineSampler.h"

namespace Tarragon {

LineSampler::LineSampler(const LogBuffer &buffer, double perSecond)
    : m_buffer(buffer)
{
    m_tokens.configure(perSecond, perSecond, MonotonicTime());
}

std::optional<std::uint64_t> LineSampler::admit(MonotonicTime now)
{
    if (m_buffer.isCrowded() || !m_tokens.hasToken(now)) {
        ++m_skipped;
        return std::nullopt;
    }
    m_tokens.take(now);
    const std::uint64_t since = m_skipped - m_skippedAtLast;
    m_skippedAtLast = m_skipped;
    return since;
}

} // namespace Tarragon
