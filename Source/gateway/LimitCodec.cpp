#include "gateway/LimitCodec.h"

#include "base/Error.h"

#include <cmath>
#include <string>

namespace Tarragon {

void fillLimit(PeerRpc::TargetLimit::Builder builder, const TargetLimit &limit)
{
    builder.setVersion(limit.version.value());
    builder.setLimited(limit.rate.has_value());
    builder.setPerSecond(limit.rate.value_or(RequestRate{}).perSecond);
}

void fillLimits(capnp::List<PeerRpc::TargetLimitItem>::Builder list,
                const std::vector<TargetLimitChange> &limits)
{
    for (unsigned int i = 0; i < list.size(); ++i) {
        list[i].setTarget(limits[i].target.value());
        fillLimit(list[i].initLimit(), limits[i].limit);
    }
}

RequestRate decodeRate(std::string_view name, double perSecond)
{
    if (!std::isfinite(perSecond) || perSecond < 0) {
        throw Error(std::string(name) + " is " + std::to_string(perSecond)
                    + " requests per second, expected a finite number of at least 0");
    }
    return RequestRate{ perSecond };
}

TargetLimit decodeLimit(PeerRpc::TargetLimit::Reader reader)
{
    TargetLimit limit;
    limit.version = LimitVersion(reader.getVersion());
    if (reader.getLimited()) {
        limit.rate = decodeRate("limit", reader.getPerSecond());
    }
    return limit;
}

} // namespace Tarragon
