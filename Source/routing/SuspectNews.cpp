#include "routing/SuspectNews.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

SuspectNews::SuspectNews(const EntryMembership &membership, SuspectRequests &suspects,
                         SendSlot send)
    : m_membership(membership)
    , m_suspects(suspects)
    , m_send(std::move(send))
{}

void SuspectNews::sendOwnChanges(MonotonicTime now)
{
    send(true, m_suspects.takeOwnChanges(), now);
}

void SuspectNews::receive(const InstanceId &sender, const std::vector<SuspectRecord> &records,
                          MonotonicTime now)
{
    std::vector<SuspectRecord> unknown;
    for (const SuspectRecord &it : records) {
        if (m_suspects.merge(it, now)) {
            unknown.push_back(m_suspects.find(it.fingerprint));
        }
    }
    if (!m_membership.isInLocalDomain(sender)) {
        send(false, std::move(unknown), now);
    }
}

void SuspectNews::send(bool isOwnNews, std::vector<SuspectRecord> records, MonotonicTime now)
{
    if (records.empty()) {
        return;
    }
    // The rest arrives by gossip.
    records.resize(std::min(records.size(), MaxRecords));
    for (const InstanceId &it : m_membership.newsRecipients(isOwnNews, now)) {
        m_send(it, records);
    }
}

} // namespace Tarragon
