#include "gateway/CallerResponseTemplate.h"

namespace Tarragon {

std::string_view toString(CancelCause cause)
{
    switch (cause) {
    case CancelCause::GivenUp:
        return "given-up";
    case CancelCause::ResponseBegun:
        return "response-begun";
    case CancelCause::CallerGone:
        return "caller-gone";
    }
    return "";
}

template class BasicCallerResponse<EventLoop, HttpExchange, TargetAttempt>;

} // namespace Tarragon
