#include "Support/LoopTest.h"
#include "gateway/MembershipGossip.h"
#include "gateway/PermitRpc.h"
#include "net/RpcConnector.h"
#include "net/RpcListener.h"
#include "net/RpcRuntime.h"
#include "net/RpcSession.h"

#include <capnp/any.h>

#include <memory>
#include <optional>

namespace Tarragon {
namespace {

/// Ids of the interface Peer and of its methods in builds without limits of targets, whose messages
/// of gossip have one field in each direction.
constexpr std::uint64_t PeerInterface = 0xd5f4e88c326a42cb;
constexpr std::uint16_t GossipMethod = 8;
using MemberList = capnp::List<PeerRpc::RosterItem>;

EntryRecord recordOf(const std::string &id, std::uint16_t port = 0)
{
    EntryRecord record;
    record.instance = InstanceId(id);
    record.domain = FailureDomainId("d1");
    record.region = RegionId("r1");
    record.incarnation = Incarnation(7);
    record.rpc = Endpoint{ "127.0.0.1", port };
    return record;
}

void fillOldGossip(capnp::AnyPointer::Builder message, const std::string &sender)
{
    MemberList::Builder members =
            message.initAsAnyStruct(0, 1).getPointerSection()[0].initAs<MemberList>(1);
    members[0].setInstance(sender);
    members[0].setIncarnation(7);
    members[0].setBeat(5);
    members[0].setServing(true);
}

/// Serves the calls of a build without limits of targets.
class OldPeer : public capnp::Capability::Server
{
public:
    explicit OldPeer(std::size_t &gossips)
        : m_gossips(gossips)
    {}

    DispatchCallResult
    dispatchCall(std::uint64_t interfaceId, std::uint16_t methodId,
                 capnp::CallContext<capnp::AnyPointer, capnp::AnyPointer> context) override
    {
        if (interfaceId != PeerInterface || methodId != GossipMethod) {
            return internalUnimplemented("Peer", interfaceId, methodId);
        }
        const MemberList::Reader members = context.getParams()
                                                   .getAs<capnp::AnyStruct>()
                                                   .getPointerSection()[0]
                                                   .getAs<MemberList>();
        m_gossips += members.size() > 0 ? 1 : 0;
        fillOldGossip(context.getResults(), "old");
        return { kj::READY_NOW, false };
    }

private:
    std::size_t &m_gossips;
};

/// An entry of this build beside one of a build without limits, over real sockets.
class OlderBuildTest : public LoopTest
{
protected:
    RpcRuntime m_runtime{ m_loop.base() };
    const Timer m_watchdog = m_loop.schedule(seconds(20), [this] {
        ADD_FAILURE() << "the test did not finish within 20 s";
        m_runtime.stop();
    });
    EntryMembership m_membership{ recordOf("new"), 1 };
    TargetLimits m_limits;
    SuspectRequests m_suspects;
    MembershipGossip m_gossip{
        m_loop, m_membership, m_limits, m_suspects, Endpoint{ "127.0.0.1", 0 }, 1, {}
    };
};

// Guards against gossip of an older build that is refused, and against a reply that it cannot read.
TEST_F(OlderBuildTest, OlderEntryGossipsWithThisOne)
{
    m_membership.setRecords({ recordOf("old") });
    m_limits.onStated(TargetId("t1"), RequestRate{ 9.3 }, m_loop.now());
    kj::Own<RpcStream> stream;
    const RpcConnector connector(
            m_loop, "127.0.0.1", m_gossip.port(), {}, 1,
            [&stream](kj::Own<RpcStream> &connected) { stream = kj::mv(connected); });
    runUntil([&stream] { return stream.get() != nullptr; });
    RpcSession session(kj::mv(stream));
    capnp::Capability::Client peer = session.remote();
    capnp::Request<capnp::AnyPointer, capnp::AnyPointer> request =
            peer.typelessRequest(PeerInterface, GossipMethod, nullptr);
    fillOldGossip(request, "old");
    const capnp::Response<capnp::AnyPointer> reply = request.send().wait(m_runtime.waitScope());
    const MemberList::Reader members =
            reply.getAs<capnp::AnyStruct>().getPointerSection()[0].getAs<MemberList>();
    ASSERT_EQ(members.size(), 2u);
    EXPECT_EQ(std::string(members[0].getInstance()), "new");
    EXPECT_TRUE(m_membership.isLive(InstanceId("old"), m_loop.now()));
    EXPECT_TRUE(m_limits.isLimited(TargetId("t1")));
}

// Guards against an entry that takes an older one for dead because it does not exchange limits, and
// against a request for a permit that never ends there.
TEST_F(OlderBuildTest, ThisEntryGossipsWithAnOlderOne)
{
    std::size_t gossips = 0;
    kj::Own<RpcSession> served;
    const RpcListener listener(m_loop, "127.0.0.1", 0, [&](kj::Own<RpcStream> &stream) {
        served = kj::heap<RpcSession>(kj::mv(stream), kj::heap<OldPeer>(gossips));
    });
    m_limits.onStated(TargetId("t1"), RequestRate{ 9.3 }, m_loop.now());
    m_gossip.setRecords({ recordOf("old", listener.port()) });
    const Timer stop = m_loop.scheduleEvery(milliseconds(5), [this, &gossips] {
        if (gossips > 0 && m_membership.isLive(InstanceId("old"), m_loop.now())) {
            m_runtime.stop();
        }
    });
    m_runtime.run();
    EXPECT_TRUE(m_limits.isLimited(TargetId("t1")));
    std::optional<bool> hasReply;
    requestPermit(m_loop, m_gossip.client(InstanceId("old")),
                  PermitRequest{ TargetId("t1"), FailureDomainId("d1"),
                                 m_limits.find(TargetId("t1")), std::nullopt },
                  [this, &hasReply](const PermitReply *reply, MonotonicTime) {
                      hasReply = reply != nullptr;
                      m_runtime.stop();
                  });
    m_runtime.run();
    EXPECT_EQ(hasReply, false);
}

} // namespace
} // namespace Tarragon
