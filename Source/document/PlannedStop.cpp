#include "document/PlannedStop.h"

namespace Tarragon {

std::string toString(StopKind kind)
{
    switch (kind) {
    case StopKind::Target:
        return "target";
    case StopKind::Instance:
        return "instance";
    case StopKind::Domain:
        return "domain";
    case StopKind::Region:
        return "region";
    }
    return "target";
}

std::optional<StopKind> parseStopKind(const std::string &text)
{
    for (StopKind it :
         { StopKind::Target, StopKind::Instance, StopKind::Domain, StopKind::Region }) {
        if (text == toString(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace Tarragon
