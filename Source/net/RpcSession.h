#pragma once

#include "base/Units.h"
#include "net/RpcStream.h"

#include <capnp/rpc-twoparty.h>

namespace Tarragon {

/// Limits on the input that a session accepts from its peer.
struct RpcLimits
{
    /// Maximum size of a message, and of the data traversed while reading it. The largest objects
    /// sent are sections and plans of one megabyte.
    ByteCount messageBytes{ std::uint64_t{ 4 } * 1024 * 1024 };
    /// Maximum depth of nested pointers; the schema needs less than ten.
    int nesting = 32;
    /// Maximum total size of the parameters of calls in progress; above it the session stops
    /// reading from the connection.
    ByteCount callsInProgress{ std::uint64_t{ 8 } * 1024 * 1024 };
};

/// Cap'n Proto RPC over one connection. Malformed input ends only this session.
class RpcSession
{
public:
    /// Creates a session that serves the capability to the peer.
    RpcSession(kj::Own<RpcStream> stream, capnp::Capability::Client served,
               const RpcLimits &limits = {});
    /// Creates a session that calls the peer and serves nothing.
    explicit RpcSession(kj::Own<RpcStream> stream, const RpcLimits &limits = {});
    ~RpcSession() noexcept;
    KJ_DISALLOW_COPY(RpcSession);

    /// Returns the capability that the peer serves.
    capnp::Capability::Client remote();
    /// Resolves when the connection has ended or was closed because of malformed input.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }
    /// Whether input has arrived that the session has not read.
    bool hasUnreadInput() const { return m_stream->hasUnreadInput(); }

private:
    kj::Own<RpcStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace Tarragon
