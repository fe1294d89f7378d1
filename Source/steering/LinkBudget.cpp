#include "steering/LinkBudget.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Tarragon {

namespace {

constexpr double BytesPerMegabit = 125'000;

/// Maximum wait that is returned, as for a rate of zero or nearly zero.
constexpr double MaxWaitMs = 60'000;

std::size_t entryCount(const Topology &topology, const RegionId &region)
{
    std::size_t n = 0;
    for (const auto &[id, domain] : topology.domains) {
        n += domain.region == region ? domain.entries.size() : 0;
    }
    return std::max<std::size_t>(n, 1);
}

} // namespace

void LinkBudget::Bucket::fill(MonotonicTime now)
{
    if (now > lastFilledAt) {
        const double passed = inSeconds(now - lastFilledAt);
        tokens = std::min(burst, tokens + bytesPerSecond * passed);
        lastFilledAt = now;
    }
}

milliseconds LinkBudget::Bucket::waitFor(double size) const
{
    const double needed = std::min(size, burst) - tokens;
    if (bytesPerSecond > 0 && needed <= 0) {
        return milliseconds(0);
    }
    const double wait = bytesPerSecond > 0 ? std::ceil(needed / bytesPerSecond * 1e3) : MaxWaitMs;
    return milliseconds(static_cast<std::int64_t>(std::clamp(wait, 1.0, MaxWaitMs)));
}

LinkBudget::LinkBudget(const Configuration &configuration, const RegionId &sendingRegion,
                       MonotonicTime now)
    : m_region(sendingRegion)
{
    setConfiguration(configuration, now);
}

void LinkBudget::setConfiguration(const Configuration &configuration, MonotonicTime now)
{
    const auto entries = static_cast<double>(entryCount(configuration.topology, m_region));
    const double burstSeconds = inSeconds(BurstTime);
    const auto bucketFor = [&](const Bucket *old, double rate) {
        Bucket bucket{ rate, rate * burstSeconds, 0, now };
        if (old != nullptr) {
            Bucket before = *old;
            before.fill(now);
            bucket.tokens = std::min(before.tokens, bucket.burst);
        }
        return bucket;
    };

    std::map<ServiceKey, Bucket> services;
    for (const ShiftCap &it : configuration.shifts) {
        if (it.from != m_region || it.linkRate.value <= 0) {
            continue;
        }
        const double rate = it.linkRate.value * BytesPerMegabit / entries;
        const ServiceKey key{ it.service, it.to };
        const auto known = services.find(key);
        if (known == services.end() || rate < known->second.bytesPerSecond) {
            const auto old = m_services.find(key);
            services[key] = bucketFor(old == m_services.end() ? nullptr : &old->second, rate);
        }
    }
    std::map<RegionId, Bucket> links;
    for (const RegionLink &it : configuration.topology.links) {
        if (it.from == m_region) {
            const auto old = m_links.find(it.to);
            links[it.to] = bucketFor(old == m_links.end() ? nullptr : &old->second,
                                     it.capacity.value * BytesPerMegabit / entries);
        }
    }
    m_services = std::move(services);
    m_links = std::move(links);
}

std::optional<milliseconds> LinkBudget::trySend(const ServiceId &service,
                                                const RegionId &receivingRegion, ByteCount size,
                                                MonotonicTime now)
{
    if (size > MaxMessageSize) {
        throw Error("link budget: found a message of " + std::to_string(size.value)
                    + " bytes, expected at most " + std::to_string(MaxMessageSize.value));
    }
    if (receivingRegion == m_region) {
        return std::nullopt;
    }
    const auto bytes = static_cast<double>(size.value);
    milliseconds wait{ 0 };
    const auto serviceBucket = m_services.find({ service, receivingRegion });
    if (serviceBucket != m_services.end()) {
        serviceBucket->second.fill(now);
        wait = std::max(wait, serviceBucket->second.waitFor(bytes));
    }
    const auto linkBucket = m_links.find(receivingRegion);
    if (linkBucket != m_links.end()) {
        linkBucket->second.fill(now);
        wait = std::max(wait, linkBucket->second.waitFor(bytes));
    }
    if (wait.count() > 0) {
        return wait;
    }
    if (serviceBucket != m_services.end()) {
        serviceBucket->second.tokens -= bytes;
    }
    if (linkBucket != m_links.end()) {
        linkBucket->second.tokens -= bytes;
    }
    return std::nullopt;
}

} // namespace Tarragon
