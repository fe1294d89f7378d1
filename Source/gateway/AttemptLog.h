#pragma once

#include "base/Ids.h"
#include "gateway/CallerResponse.h"
#include "gateway/TargetAttempt.h"
#include "routing/RequestFingerprint.h"

#include <string>

namespace Tarragon {

/// Returns the outcome as it is written to log lines and metrics.
std::string describe(SendOutcome outcome);

/// Logs an attempt that has not ended with an answer for the caller.
void logFailedAttempt(const RequestId &request, RequestFingerprint fingerprint,
                      const TargetAttempt &attempt);

/// Logs an attempt whose call to the target is reset before it has ended.
void logCancelledAttempt(const RequestId &request, const TargetAttempt &attempt, CancelCause cause);

} // namespace Tarragon
