#pragma once

#include "base/Units.h"
#include "net/RpcStream.h"

#include <capnp/rpc-twoparty.h>

namespace Tarragon {

/// Limits of what is taken from the other end of a session.
struct RpcLimits
{
    /// Largest message, and bytes that may be followed while one is read. The largest value is a
    /// section or plan of a megabyte.
    ByteCount messageBytes{ std::uint64_t{ 4 } * 1024 * 1024 };
    /// Nested pointers; the schema needs less than ten.
    int nesting = 32;
    /// Parameters of calls in progress; beyond it nothing more is read from the connection.
    ByteCount callsInProgress{ std::uint64_t{ 8 } * 1024 * 1024 };
};

/// Cap'n Proto RPC over one connection. Broken input ends this session only.
class RpcSession
{
public:
    /// A session that serves the capability.
    RpcSession(kj::Own<RpcStream> stream, capnp::Capability::Client served,
               const RpcLimits &limits = {});
    /// A session that calls the other end.
    explicit RpcSession(kj::Own<RpcStream> stream, const RpcLimits &limits = {});
    ~RpcSession() noexcept;
    KJ_DISALLOW_COPY(RpcSession);

    /// What the other end serves.
    capnp::Capability::Client remote();
    /// Resolves when the connection has ended or was given up for broken input.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    kj::Own<RpcStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace Tarragon
