#pragma once

#include "base/Units.h"

#include <cstddef>

namespace Tarragon {

/// Times of the spread of configurations and plans. Together they keep the bound of 3 s from an
/// acceptance to its being in force everywhere; Tests/peer/DisseminationTest.cpp measures it.
struct DisseminationOptions
{
    microseconds heartbeatPeriod{ 500'000 };
    /// An instance of the own failure domain not heard for this long is passed over when watchers
    /// are chosen. Two heartbeats may be lost.
    microseconds memberSilence{ 1'300'000 };
    /// Instances of a failure domain that watch the store.
    std::size_t watchers = 2;
    /// Heartbeats that an instance starts in a period within its failure domain. Bounds the cost in
    /// a large domain, where the others are taken in turn.
    std::size_t neighboursPerPeriod = 3;
    /// Other failure domains that a watcher exchanges heartbeats with in a period, in turn.
    std::size_t domainsPerPeriod = 3;
    /// Sections of a configuration that are asked for at the same time.
    std::size_t sectionsInFlight = 4;
    /// Time that a watch waits for a change. A longer one costs fewer calls.
    milliseconds watchWait{ 5'000 };
    /// An unanswered fetch from a peer is given up after this time.
    microseconds peerTimeout{ 250'000 };
    /// A second peer is asked when a fetch has taken this long.
    microseconds peerHedge{ 100'000 };
    /// Pause after a failed fetch from a peer.
    microseconds peerRetry{ 50'000 };
    /// An unanswered call to the store is given up after this time, not counting its wait.
    microseconds storeTimeout{ 1'000'000 };
    /// Pause after a failed call to the store, doubled up to the maximum, with jitter of half.
    microseconds storeRetryMin{ 100'000 };
    microseconds storeRetryMax{ 500'000 };
    /// While no watcher reaches the store, all others of the domain together read it once in this
    /// time on average.
    microseconds fallbackPeriod{ 1'000'000 };
    /// A restarted instance collects the versions of its peers for this long before it fetches from
    /// one, so that it does not put into force what it had already replaced.
    microseconds startWindow{ 300'000 };
};

/// Mechanisms of dissemination, all on. Tests turn single ones off to show what each is for.
struct DisseminationRules
{
    static constexpr bool AdoptOnlyGreater = true;
    static constexpr bool RepairByHeartbeat = true;
    static constexpr bool VerifyDigests = true;
    static constexpr bool ReplaceWatchers = true;
    static constexpr bool CrossDomains = true;
};

} // namespace Tarragon
