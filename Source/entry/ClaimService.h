#pragma once

#include "entry/ProxyContext.h"
#include "entry/RequestClaims.h"
#include "net/EventLoop.h"
#include "steering/AtMostOnceRegistry.h"
#include "steering/AtMostOnceRunner.h"

#include <functional>
#include <map>
#include <string>

namespace Tarragon {

/// Connects the at-most-once records of this entry with the requests it carries and with the
/// records of other entries.
class ClaimService
{
public:
    /// Sends a message to another entry; it may get lost.
    using Send = std::function<void(const RegistryMessage &)>;

    ClaimService(EventLoop &loop, const InstanceId &self, Incarnation incarnation, Send send);

    /// The functions for the requests that this entry carries.
    ClaimFunctions functions();
    /// Takes a message from another entry.
    void receive(const RegistryPayload &payload);
    /// Chooses the entry that backs up this one's records; called whenever membership changes.
    void setBackup(const InstanceId &backup, Incarnation incarnation);
    void clearBackup();
    /// The request-id seed for lookups; empty while no backup has accepted its role.
    std::string seed();
    /// Timeouts; to be called every 50 to 100 ms.
    void tick();

private:
    void dispatch(RegistryMessages &messages);
    /// Reports the changes of claims from the next turn of the loop, so that no request is called
    /// back from within its own call.
    void scheduleReport();
    void reportChanges();
    ClaimResult answerOf(const RunStatus &status) const;

    EventLoop &m_loop;
    InstanceId m_self;
    Send m_send;
    AtMostOnceRegistry m_registry;
    AtMostOnceRunner m_runner;
    InstanceId m_backup;
    Incarnation m_backupIncarnation;
    std::map<RunNumber, std::function<void(const ClaimResult &)>> m_callbacks;
    Timer m_report;
};

} // namespace Tarragon
