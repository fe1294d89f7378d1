#include "gateway/SuspectSharing.h"

#include "gateway/SuspectCodec.h"

namespace Tarragon {

namespace {

/// Timeout of a call, whose reply only confirms the receipt.
constexpr milliseconds ConfirmTimeout{ 1'000 };

} // namespace

SuspectSharing::SuspectSharing(EventLoop &loop, const EntryMembership &membership,
                               SuspectRequests &suspects, ClientSlot client)
    : m_loop(loop)
    , m_localInstance(membership.localEntry().instance)
    , m_news(membership, suspects,
             [this](const InstanceId &entry, const std::vector<SuspectRecord> &records) {
                 send(Message{ entry, records }, false);
             })
    , m_client(std::move(client))
{
    suspects.ownChange().connect([this] {
        if (!m_batchTimer.isActive()) {
            m_batchTimer =
                    m_loop.schedule(BatchTime, [this] { m_news.sendOwnChanges(m_loop.now()); });
        }
    });
}

void SuspectSharing::receive(PeerRpc::Peer::ShareSuspectsParams::Reader params)
{
    m_news.receive(InstanceId(params.getSender()), decodeSuspects(params.getSuspects()),
                   m_loop.now());
}

void SuspectSharing::send(const Message &message, bool isRetry)
{
    PeerClient *client = m_client(message.recipient);
    if (client == nullptr) {
        return;
    }
    client->call(
            &PeerRpc::Peer::Client::shareSuspectsRequest, ConfirmTimeout,
            [this, &message](PeerRpc::Peer::ShareSuspectsParams::Builder params) {
                params.setSender(m_localInstance.value());
                fillSuspects(params.initSuspects(static_cast<unsigned int>(message.records.size())),
                             message.records);
            },
            [this, message, isRetry](PeerOutcome outcome,
                                     const PeerRpc::Peer::ShareSuspectsResults::Reader *) {
                // Anything that fails for good arrives by gossip.
                if (outcome == PeerOutcome::NotSent && !isRetry) {
                    m_unsent.push_back(message);
                    if (!m_retryTimer.isActive()) {
                        m_retryTimer = m_loop.schedule(ConnectTime, [this] { sendAgain(); });
                    }
                }
            });
}

void SuspectSharing::sendAgain()
{
    for (const Message &it : std::exchange(m_unsent, {})) {
        send(it, true);
    }
}

} // namespace Tarragon
