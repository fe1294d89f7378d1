#include "net/CloseCause.h"

namespace Tarragon {

std::string_view toString(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Response:
        return "response";
    case CloseCause::Rejection:
        return "rejection";
    case CloseCause::BreakOff:
        return "break-off";
    case CloseCause::Idle:
        return "idle";
    case CloseCause::Unread:
        return "unread";
    case CloseCause::Eviction:
        return "eviction";
    case CloseCause::ServerEnd:
        return "server-end";
    case CloseCause::CallerGone:
        return "caller-gone";
    case CloseCause::HandlerFailed:
        return "handler-failed";
    }
    return "";
}

} // namespace Tarragon
