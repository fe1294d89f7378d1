#pragma once

#include "peer/Peer.capnp.h"

#include <sigc++/sigc++.h>

namespace Tarragon {

/// Functions that a PeerServer calls for the methods of the Peer interface. Their arguments are
/// valid only during the call. If a handler is not set or throws, the call fails at the caller.
struct PeerHandlers
{
    sigc::slot<void(PeerRpc::Heartbeat::Reader mine, PeerRpc::Heartbeat::Builder theirs)> heartbeat;
    sigc::slot<void(PeerRpc::Peer::FetchHeadParams::Reader,
                    PeerRpc::Peer::FetchHeadResults::Builder)>
            fetchHead;
    sigc::slot<void(PeerRpc::Peer::FetchSectionParams::Reader,
                    PeerRpc::Peer::FetchSectionResults::Builder)>
            fetchSection;
    sigc::slot<void(PeerRpc::Peer::FetchPlanParams::Reader,
                    PeerRpc::Peer::FetchPlanResults::Builder)>
            fetchPlan;
    sigc::slot<void(PeerRpc::Peer::OfferParams::Reader)> offer;
    sigc::slot<void(PeerRpc::SlotRequest::Reader, PeerRpc::SlotResponse::Builder)> requestSlots;
    sigc::slot<void(capnp::List<PeerRpc::RegistryMessage>::Reader)> registry;
    sigc::slot<void(PeerRpc::Status::Builder)> status;
    sigc::slot<void(PeerRpc::Peer::GossipParams::Reader, PeerRpc::Peer::GossipResults::Builder)>
            gossip;
    sigc::slot<void(PeerRpc::Peer::RelayParams::Reader, PeerRpc::Peer::RelayResults::Builder)>
            relay;
    sigc::slot<void(PeerRpc::Peer::RequestPermitParams::Reader,
                    PeerRpc::Peer::RequestPermitResults::Builder)>
            requestPermit;
    sigc::slot<void(PeerRpc::Peer::ShareSuspectsParams::Reader)> shareSuspects;
    sigc::slot<void(PeerRpc::Peer::RequestTrialParams::Reader,
                    PeerRpc::Peer::RequestTrialResults::Builder)>
            requestTrial;
    sigc::slot<void(PeerRpc::Peer::EndTrialParams::Reader)> endTrial;
    sigc::slot<void(PeerRpc::Peer::RequestUsageParams::Reader,
                    PeerRpc::Peer::RequestUsageResults::Builder)>
            requestUsage;
};

} // namespace Tarragon
