#pragma once

#include "net/EventLoop.h"
#include "peer/PeerClient.h"
#include "routing/SuspectNews.h"

#include <utility>
#include <vector>

namespace Tarragon {

/// Sends and receives the news about requests under suspicion over RPC.
class SuspectSharing
{
public:
    /// Returns the connection to a registered entry; null for any other.
    using ClientSlot = sigc::slot<PeerClient *(const InstanceId &)>;

    SuspectSharing(EventLoop &loop, const EntryMembership &membership, SuspectRequests &suspects,
                   ClientSlot client);
    SuspectSharing(const SuspectSharing &) = delete;
    SuspectSharing &operator=(const SuspectSharing &) = delete;

    void receive(PeerRpc::Peer::ShareSuspectsParams::Reader params);

private:
    struct Message
    {
        InstanceId recipient;
        std::vector<SuspectRecord> records;
    };

    /// Time for which observations are collected into one message: the requests at a target that
    /// has ended fail at the same time.
    static constexpr milliseconds BatchTime{ 5 };
    /// Time after which a message is sent again because there was no connection to its recipient;
    /// the first call to an entry only begins to connect.
    static constexpr milliseconds ConnectTime{ 100 };

    void send(const Message &message, bool isRetry);
    void sendAgain();

    EventLoop &m_loop;
    InstanceId m_localInstance;
    SuspectNews m_news;
    ClientSlot m_client;
    std::vector<Message> m_unsent;
    Timer m_batchTimer;
    Timer m_retryTimer;
};

} // namespace Tarragon
