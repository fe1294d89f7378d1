#include "net/MetricText.h"

namespace Tarragon {

std::string metricText(const std::string &name, std::string_view type, std::string_view help,
                       std::uint64_t value)
{
    std::string text = "# HELP " + name + " ";
    text.append(help).append("\n# TYPE ").append(name).append(" ").append(type);
    return text + "\n" + name + " " + std::to_string(value) + "\n";
}

} // namespace Tarragon
