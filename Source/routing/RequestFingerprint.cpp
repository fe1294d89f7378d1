#include "routing/RequestFingerprint.h"

#include "base/Digest.h"

#include <cstdint>

namespace Tarragon {

RequestFingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    std::uint64_t hash = 0;
    for (const std::string_view it : parts) {
        hash = stableHash(it, hash + it.size());
    }
    return RequestFingerprint(hash);
}

} // namespace Tarragon
