#pragma once

#include <string>
#include <string_view>

namespace Tarragon {

/// Returns the bytes of an error response that announces the end of the connection. The fields are
/// complete lines.
std::string errorResponse(int status, std::string_view reason, std::string_view fields);

} // namespace Tarragon
