#include "gateway/CallerResponseTemplate.h"

namespace Tarragon {

std::string_view toString(CancelCause cause)
{
    switch (cause) {
    case CancelCause::GivenUp:
        return "given-up";
    case CancelCause::ResponseBegun:
        return "response-begun";
    case CancelCause::RequestEnded:
        return "request-ended";
    }
    return "";
}

template class BasicCallerResponse<EventLoop, HttpExchange, TargetAttempt>;

} // namespace Tarragon
