#include "routing/RouteTable.h"

namespace Tarragon {

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const Route *found = nullptr;
    for (const Route &it : routes) {
        if (it.host == host && path.starts_with(it.pathPrefix)
            && (found == nullptr || it.pathPrefix.size() > found->pathPrefix.size())) {
            found = &it;
        }
    }
    return found;
}

} // namespace Tarragon
