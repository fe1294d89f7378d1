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

/// Connects the requests that this entry carries with the at-most-once records that allow them to
/// run, its own records and those of other entries.
class ClaimService
{
public:
    /// Sends a message to another entry, without guarantee of delivery.
    using Send = std::function<void(const RegistryMessage &)>;

    ClaimService(EventLoop &loop, const InstanceId &self, Incarnation incarnation, Send send);

    /// Returns the functions by which carried requests obtain and use claims.
    ClaimFunctions functions();
    /// Passes a message of another entry to the registry or the runner.
    void receive(const RegistryPayload &payload);
    /// Sets the entry that keeps the backup copies of this entry's records; to be called whenever
    /// the membership changes.
    void setBackup(const InstanceId &backup, Incarnation incarnation);
    /// Leaves this entry without a backup, because no suitable entry is live.
    void clearBackup();
    /// Returns the request-id seed for lookups; empty while no backup has accepted its role.
    std::string seed();
    /// Checks the timeouts of claims and records; to be called every 50 to 100 ms.
    void tick();

private:
    /// Sends the messages; those to this entry are processed at once.
    void dispatch(RegistryMessages &messages);
    /// Schedules the callbacks for the next iteration of the event loop, so that no request is
    /// called back from within its own call.
    void scheduleCallbacks();
    void invokeCallbacks();
    ClaimResult resultOf(const RunStatus &status) const;

    EventLoop &m_loop;
    InstanceId m_self;
    Send m_send;
    AtMostOnceRegistry m_registry;
    AtMostOnceRunner m_runner;
    InstanceId m_backup;
    Incarnation m_backupIncarnation;
    std::map<RunNumber, std::function<void(const ClaimResult &)>> m_callbacks;
    Timer m_callbackTimer;
};

} // namespace Tarragon
