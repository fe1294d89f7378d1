#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Tarragon {

/// Result of comparing the callers' journals with the targets' journals.
struct AuditResult
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t notRun = 0;
    std::uint64_t uncertain = 0;
    std::uint64_t lost = 0;
    /// Non-idempotent requests that targets started more than once.
    std::uint64_t runTwice = 0;
    /// Requests that were reported as not run although a target had started them.
    std::uint64_t falseNotRun = 0;
};

/// Compares the journals. POST requests count as non-idempotent. Throws Error if a file cannot be
/// read or a line is not JSON.
AuditResult auditJournals(const std::vector<std::string> &callerFiles,
                          const std::vector<std::string> &targetFiles);

/// Returns one line, such as "10 requests, 9 whole, 1 refused as not run, 0 lost, 0 run twice".
/// Uncertain outcomes and false reports count as lost.
std::string toString(const AuditResult &result);

} // namespace Tarragon
