#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Units.h"
#include "base/Versions.h"

#include <cstdint>
#include <vector>

namespace Tarragon {

/// Number of a grant, assigned by the lender and unique within the lender's incarnation. A grant
/// lends one slot of a target from one entry (the lender) to a neighbour (the borrower) for a
/// limited time.
using GrantId = StrongNumber<struct GrantIdTag>;

/// Sent by a borrower to a neighbour, an entry of the same failure domain, to borrow slots, renew
/// grants and return slots. May be lost, delayed or duplicated.
struct GrantRequest
{
    InstanceId from;
    Incarnation fromIncarnation;
    InstanceId to;
    /// Incarnation of the lender that the renewals and returns refer to; 0 if there are none.
    Incarnation toIncarnation;
    /// Increases with every request of the borrower's incarnation.
    std::uint64_t sequence = 0;
    /// Targets to borrow a slot of, one new slot for each element.
    std::vector<TargetId> wanted;
    std::vector<GrantId> renewals;
    std::vector<GrantId> returns;
};

/// One slot granted.
struct SlotGrant
{
    GrantId id;
    TargetId target;
};

/// The lender's reply to a GrantRequest. Requested slots and renewals that it does not name were
/// refused.
struct GrantResponse
{
    InstanceId from;
    Incarnation fromIncarnation;
    InstanceId to;
    Incarnation toIncarnation;
    /// Sequence of the request.
    std::uint64_t sequence = 0;
    /// How long the grants and renewals are valid. The borrower counts from before it sent its
    /// request.
    microseconds duration{ 0 };
    std::vector<SlotGrant> granted;
    std::vector<GrantId> renewed;
};

/// Sent with the heartbeats within a failure domain. Names the newest document whose shares the
/// sender's use of slots fits, so that neighbours can use the slots that the sender no longer owns.
struct ShareReport
{
    InstanceId from;
    Incarnation fromIncarnation;
    /// Increases with every report of the sender's incarnation; older reports are ignored.
    std::uint64_t sequence = 0;
    /// Newest document that the sender has adopted.
    Generation adopted;
    /// Newest document that the sender has settled on: the shares of this document cover its
    /// running requests and the slots that it has lent.
    Generation settled;
    /// Newest document that, as far as the sender knows, all instances but the receiver have
    /// settled on; 0 while the sender does not know.
    Generation closed;
    /// Incarnation and sequence of the newest report that the sender has received from the
    /// receiver. With them, a receiver that was paused can tell a current report from an old one
    /// that was still waiting in its socket.
    Incarnation echoedIncarnation;
    std::uint64_t echoedSequence = 0;
};

} // namespace Tarragon
