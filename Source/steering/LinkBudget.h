#pragma once

#include "document/Configuration.h"

#include <map>
#include <optional>

namespace Tarragon {

/// Limits what one entry sends from its region to others, by a token bucket for each service and
/// receiving region that has a cap in Mbit/s, and one for each link. Caps and links are divided
/// evenly among the seats of the sending region in the document, so that the entries keep them
/// together without coordination.
///
/// A message is sent whole once the bucket holds it, or is full. Over any time t at most
/// rate * t + max(burst, MaxMessage) is sent; the debt is at most MaxMessage minus the burst.
class LinkBudget
{
public:
    /// Largest message that may be asked for. Longer bodies are asked for in parts.
    static constexpr ByteCount MaxMessage{ 1'048'576 };
    /// Time for which a bucket can save up.
    static constexpr milliseconds BurstTime{ 100 };

    /// Budgets of an entry in the given region. Buckets start empty, because the predecessor of a
    /// restarted entry may just have used its budget.
    LinkBudget(const Configuration &configuration, const RegionId &sendingRegion,
               MonotonicTime now);

    /// Takes the rates of a newer document. Tokens are kept, up to the new burst.
    void setConfiguration(const Configuration &configuration, MonotonicTime now);

    /// Asks to send a message. Nothing means that it may be sent and is accounted for; otherwise
    /// the time after which to ask again. Throws Error if it is longer than MaxMessage.
    std::optional<milliseconds> trySend(const ServiceId &service, const RegionId &receivingRegion,
                                        ByteCount size, MonotonicTime now);

private:
    struct Bucket
    {
        double bytesPerSecond = 0;
        double burst = 0;
        double tokens = 0;
        MonotonicTime filledAt;

        void fill(MonotonicTime now);
        /// Time until a message may be sent; 0 if now.
        milliseconds waitFor(double size) const;
    };

    using ServiceKey = std::pair<ServiceId, RegionId>;

    RegionId m_region;
    std::map<ServiceKey, Bucket> m_services;
    std::map<RegionId, Bucket> m_links;
};

} // namespace Tarragon
