#pragma once

#include "routing/EntryMembership.h"
#include "routing/SuspectRequests.h"

#include <sigc++/sigc++.h>

#include <vector>

namespace Tarragon {

/// Spreads what is learned about requests under suspicion to all entries within a fraction of a
/// second: each entry sends its own observations within its failure domain and to two entries of
/// each other one, which pass them on within theirs. What is lost on the way arrives by gossip.
class SuspectNews
{
public:
    /// Maximum number of records in a message.
    static constexpr std::size_t MaxRecords = 64;

    /// Sends records to an entry.
    using SendSlot =
            sigc::slot<void(const InstanceId &entry, const std::vector<SuspectRecord> &records)>;

    SuspectNews(const EntryMembership &membership, SuspectRequests &suspects, SendSlot send);

    /// Sends what this entry has observed since the last call.
    void sendOwnChanges(MonotonicTime now);
    /// Takes over records from another entry.
    void receive(const InstanceId &sender, const std::vector<SuspectRecord> &records,
                 MonotonicTime now);

private:
    /// Sends the records to the recipients of this entry's own news, or of that from elsewhere.
    void send(bool isOwnNews, std::vector<SuspectRecord> records, MonotonicTime now);

    const EntryMembership &m_membership;
    SuspectRequests &m_suspects;
    SendSlot m_send;
};

} // namespace Tarragon
