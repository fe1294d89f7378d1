#pragma once

#include "document/Configuration.h"

#include <map>
#include <optional>

namespace Tarragon {

/// Limits the rate at which one entry sends from its region to other regions, by a token bucket for
/// each service and receiving region that has a cap in Mbit/s, and one for each link. The rates of
/// caps and links are divided evenly among the entries that the document names for the sending
/// region, so that the entries together keep within them without coordination.
///
/// A message may be sent as soon as the bucket holds tokens for all of it or is full; a message
/// larger than the burst then leaves the tokens negative. Over any time t at most
/// rate * t + max(burst, MaxMessageSize) is sent, and the tokens never fall below the burst minus
/// MaxMessageSize.
class LinkBudget
{
public:
    /// Maximum size of a message passed to trySend(). Longer bodies are split into several
    /// messages.
    static constexpr ByteCount MaxMessageSize{ 1'048'576 };
    /// Time in which an empty bucket becomes full.
    static constexpr milliseconds BurstTime{ 100 };

    /// Creates the buckets of an entry in the given region. They start empty, because the previous
    /// process of a restarted entry may just have used its budget.
    LinkBudget(const Configuration &configuration, const RegionId &sendingRegion,
               MonotonicTime now);

    /// Applies the rates of a newer document. Tokens are kept, up to the new burst.
    void setConfiguration(const Configuration &configuration, MonotonicTime now);

    /// Takes the tokens for a message and returns nothing if the message may be sent now. Otherwise
    /// takes no tokens and returns the time after which to call again. Throws Error if the message
    /// is longer than MaxMessageSize.
    std::optional<milliseconds> trySend(const ServiceId &service, const RegionId &receivingRegion,
                                        ByteCount size, MonotonicTime now);

private:
    struct Bucket
    {
        double bytesPerSecond = 0;
        double burst = 0;
        double tokens = 0;
        MonotonicTime lastFilledAt;

        void fill(MonotonicTime now);
        /// Returns the time until a message of this size in bytes may be sent; 0 if it may be sent
        /// now.
        milliseconds waitFor(double size) const;
    };

    using ServiceKey = std::pair<ServiceId, RegionId>;

    RegionId m_region;
    std::map<ServiceKey, Bucket> m_services;
    std::map<RegionId, Bucket> m_links;
};

} // namespace Tarragon
