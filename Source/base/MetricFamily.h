#pragma once

namespace Tarragon {

/// Registers a metric of prometheus-cpp; the builder says of which kind.
template<typename Builder, typename Registry>
auto &registerFamily(Builder builder, const char *name, const char *help, Registry &registry)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace Tarragon
