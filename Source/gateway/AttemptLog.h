#pragma once

#include "base/Ids.h"
#include "gateway/TargetAttempt.h"
#include "routing/RequestFingerprint.h"

#include <string>

namespace Tarragon {

/// Returns the outcome as it is written to log lines and metrics.
std::string describe(SendOutcome outcome);

/// Logs an attempt that has not ended with an answer for the caller.
void logFailedAttempt(const RequestId &request, RequestFingerprint fingerprint,
                      const TargetAttempt &attempt);

/// Logs a response that arrives after the delivery of another target's response has begun.
void logSurplusResponse(const RequestId &request, const TargetId &delivered,
                        const TargetAttempt &attempt);

} // namespace Tarragon
