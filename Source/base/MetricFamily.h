#pragma once

namespace Tarragon {

/// Registers a metric family with prometheus-cpp. The builder determines the type of the metrics,
/// such as prometheus::BuildCounter().
template<typename Builder, typename Registry>
auto &registerFamily(Builder builder, const char *name, const char *help, Registry &registry)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace Tarragon
