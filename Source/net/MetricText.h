#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Tarragon {

/// Returns one metric in the text format of Prometheus. The type is "gauge" or "counter".
std::string metricText(const std::string &name, std::string_view type, std::string_view help,
                       std::uint64_t value);

} // namespace Tarragon
