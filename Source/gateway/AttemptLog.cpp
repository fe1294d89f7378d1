#include "gateway/AttemptLog.h"

#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace Tarragon {

namespace {

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

} // namespace

std::string describe(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Answered:
        return "answered";
    case SendOutcome::Failed:
        return "failed";
    case SendOutcome::Declined:
        return "declined";
    case SendOutcome::WrongTarget:
        return "wrong-target";
    case SendOutcome::Unreachable:
        return "unreachable";
    case SendOutcome::Broken:
        return "broken";
    case SendOutcome::Aborted:
        return "abandoned";
    }
    return "";
}

void logFailedAttempt(const RequestId &request, RequestFingerprint fingerprint,
                      const TargetAttempt &attempt)
{
    LOG4CPLUS_INFO(logger(),
                   LogLine("gateway", "send-failed")
                           .add("request", request)
                           .add("fingerprint", fingerprint)
                           .add("target", attempt.target())
                           .add("connection", attempt.connectionUse().connection)
                           .add("exchange", attempt.connectionUse().exchange)
                           .add("outcome", describe(attempt.outcome()))
                           .add("status", attempt.status())
                           .add("responseId", attempt.response().id)
                           .add("sealed", attempt.response().hasResponseSeal)
                           .add("notExecuted", attempt.response().isNotExecuted)
                           .add("verdict", toString(attempt.verdict()))
                           .add("afterMs", attempt.duration())
                           .add("expectedWaitMs", attempt.placement().expectedWait)
                           .add("expectedWorkMs", attempt.placement().expectedProcessingTime)
                           .add("reason", attempt.reason())
                           .text());
}

void logCancelledAttempt(const RequestId &request, const TargetAttempt &attempt, CancelCause cause)
{
    LOG4CPLUS_INFO(logger(), LogLine("gateway", "send-cancelled")
                                     .add("request", request)
                                     .add("target", attempt.target())
                                     .add("connection", attempt.connectionUse().connection)
                                     .add("exchange", attempt.connectionUse().exchange)
                                     .add("cause", toString(cause))
                                     .add("outcome", describe(attempt.outcome()))
                                     .add("status", attempt.status())
                                     .add("afterMs", attempt.duration())
                                     .text());
}

} // namespace Tarragon
