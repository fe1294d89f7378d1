#pragma once

#include "base/StrongNumber.h"

#include <initializer_list>
#include <string_view>

namespace Tarragon {

/// Identifies what a target would run, over all attempts of a caller: requests with the same
/// fingerprint have the same method, host, path, query, caller and body.
using RequestFingerprint = StrongNumber<struct RequestFingerprintTag>;

/// Returns the fingerprint of a request with these parts, the same in all entries. Parts are told
/// apart, so that text that moves from one part to the next changes the fingerprint.
RequestFingerprint fingerprintOf(std::initializer_list<std::string_view> parts);

} // namespace Tarragon
