#include "routing/RequestAccess.h"

namespace Tarragon {

Access checkAccess(const RouteTable &table, const Route &route, const std::optional<AccessKey> &key)
{
    Access access;
    if (!table.workspaces.has_value()) {
        return access;
    }
    access.workspace = key.has_value() ? table.workspaces->find(*key) : nullptr;
    if (access.workspace == nullptr) {
        access.verdict = route.isPublic ? AccessVerdict::Allowed : AccessVerdict::UnknownKey;
    } else if (!route.allowedRegions.intersects(access.workspace->allowedRegions)) {
        access.verdict = AccessVerdict::NoCommonRegion;
    }
    return access;
}

} // namespace Tarragon
