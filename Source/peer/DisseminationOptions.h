#pragma once

#include "base/Units.h"

#include <cstddef>

namespace Tarragon {

/// Timing of the dissemination of configurations and plans. The values together ensure that an
/// accepted version is in force on all entries within 3 s; Tests/peer/DisseminationTest.cpp checks
/// this bound.
struct DisseminationOptions
{
    microseconds heartbeatPeriod{ 500'000 };
    /// An instance of the own failure domain that has sent no heartbeat for this long is not chosen
    /// as a watcher. Allows for the loss of two heartbeats.
    microseconds heartbeatTimeout{ 1'300'000 };
    /// Instances of a failure domain that watch the store.
    std::size_t watchersPerDomain = 2;
    /// Neighbours that an instance sends a heartbeat to per period. Bounds the cost in a large
    /// failure domain, where the neighbours take turns.
    std::size_t neighboursPerPeriod = 3;
    /// Other failure domains that a watcher sends a heartbeat to per period, in turn.
    std::size_t domainsPerPeriod = 3;
    /// Sections of a configuration that one fetch requests at the same time.
    std::size_t sectionsInFlight = 4;
    /// Time after which a watch of the store ends without a change. Longer watches need fewer
    /// calls.
    milliseconds watchDuration{ 5'000 };
    /// Time after which a call to a peer without a reply counts as failed.
    microseconds peerTimeout{ 250'000 };
    /// Time after which an unfinished fetch from a peer is also begun at a second peer.
    microseconds hedgeDelay{ 100'000 };
    /// Time for which a peer is not asked again after a failed fetch.
    microseconds peerRetryDelay{ 50'000 };
    /// Time after which a call to the store without a result counts as failed. The duration of a
    /// watch is added.
    microseconds storeTimeout{ 1'000'000 };
    /// Backoff after a failed call to the store. It doubles with each failure up to the maximum,
    /// and half of it is random.
    microseconds minStoreBackoff{ 100'000 };
    microseconds maxStoreBackoff{ 500'000 };
    /// While no watcher reaches the store, the other instances of the domain together read the
    /// store once per this period on average.
    microseconds fallbackPeriod{ 1'000'000 };
    /// Time for which a started instance collects the versions of its peers before it fetches from
    /// one, so that it does not put an older version into force than it had before a restart.
    microseconds startWindow{ 300'000 };
};

/// Mechanisms of dissemination, all enabled. Tests disable single ones to show which faults each
/// of them prevents.
struct DisseminationRules
{
    /// Puts a version into force only if it is higher than the present one.
    static constexpr bool AdoptOnlyGreater = true;
    /// Uses the versions in heartbeats, so that lost offers are repaired.
    static constexpr bool RepairByHeartbeat = true;
    /// Rejects section texts whose digest differs from that in the head.
    static constexpr bool VerifyDigests = true;
    /// Replaces failed watchers, and reads the store while no watcher reaches it.
    static constexpr bool ReplaceWatchers = true;
    /// Sends heartbeats and offers to other failure domains.
    static constexpr bool CrossDomains = true;
};

} // namespace Tarragon
