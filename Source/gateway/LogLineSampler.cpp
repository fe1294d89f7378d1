#include "gateway/LogLineSampler.h"

namespace Tarragon {

LogLineSampler::LogLineSampler(const LogBuffer &buffer, double perSecond)
    : m_buffer(buffer)
{
    m_tokens.configure(perSecond, perSecond, MonotonicTime());
}

std::optional<std::uint64_t> LogLineSampler::admit(MonotonicTime now)
{
    if (m_buffer.isCrowded() || !m_tokens.hasToken(now)) {
        ++m_skipped;
        return std::nullopt;
    }
    m_tokens.take(now);
    const std::uint64_t skippedSinceLast = m_skipped - m_skippedAtLastAdmission;
    m_skippedAtLastAdmission = m_skipped;
    return skippedSinceLast;
}

} // namespace Tarragon
