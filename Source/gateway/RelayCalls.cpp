#include "gateway/RelayCalls.h"

namespace Tarragon {

StoreRelay::AskSlot relayCalls(MembershipGossip &gossip)
{
    return [&gossip](const InstanceId &watcher, milliseconds timeout,
                     const StoreRelay::FillSlot &fill, const StoreRelay::ReplySlot &onReply) {
        PeerClient *client = gossip.client(watcher);
        if (client == nullptr) {
            return;
        }
        client->call(
                &PeerRpc::Peer::Client::relayRequest, timeout, fill,
                [onReply](PeerOutcome outcome, const PeerRpc::Peer::RelayResults::Reader *results) {
                    onReply(outcome == PeerOutcome::Done ? results : nullptr);
                });
    };
}

} // namespace Tarragon
