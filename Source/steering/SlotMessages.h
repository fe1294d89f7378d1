#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Units.h"
#include "base/Versions.h"

#include <cstdint>
#include <vector>

namespace Tarragon {

/// Number of a grant, chosen by the lender; unique within the lender's incarnation.
using GrantId = StrongNumber<struct GrantIdTag>;

/// Sent by a borrower to a neighbour of its failure domain. It may be lost, late or doubled.
struct GrantRequest
{
    InstanceId from;
    Incarnation fromIncarnation;
    InstanceId to;
    /// Incarnation of the lender that the renewals and returns refer to; 0 if there are none.
    Incarnation toIncarnation;
    /// Rises with every request of the borrower's incarnation.
    std::uint64_t sequence = 0;
    /// One new slot is wanted for each element.
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

/// The lender's answer to a GrantRequest. What was asked for and is not named was refused.
struct GrantResponse
{
    InstanceId from;
    Incarnation fromIncarnation;
    InstanceId to;
    Incarnation toIncarnation;
    /// Sequence of the request.
    std::uint64_t sequence = 0;
    /// Validity of the grants and renewals; the borrower counts it from before it sent its request.
    microseconds duration{ 0 };
    std::vector<SlotGrant> granted;
    std::vector<GrantId> renewed;
};

/// Carried by heartbeats within a failure domain. Tells which document the sender's use of slots
/// fits, so that others can take over what it has given up.
struct ShareReport
{
    InstanceId from;
    Incarnation fromIncarnation;
    /// Rises with every report of the incarnation; older reports are ignored.
    std::uint64_t sequence = 0;
    /// Newest document that the sender has adopted.
    Generation adopted;
    /// Newest document whose shares the sender's running requests and grants fit.
    Generation settled;
    /// Newest document that the sender knows all instances but the receiver to have settled on;
    /// 0 while it does not know.
    Generation closed;
    /// Newest report of the receiver that the sender has seen, with its incarnation. A receiver
    /// that was paused thereby tells a current report from one that lay in its socket.
    Incarnation echoedIncarnation;
    std::uint64_t echoedSequence = 0;
};

} // namespace Tarragon
