#include "net/RpcSession.h"

#include <capnp/message.h>

#include <utility>

namespace Tarragon {

namespace {

using capnp::rpc::twoparty::Side;

capnp::ReaderOptions readerOptions(const RpcLimits &limits)
{
    capnp::ReaderOptions options;
    // Cap'n Proto uses the traversal limit also as the limit on the size of a received message.
    options.traversalLimitInWords = limits.messageBytes.value / sizeof(capnp::word);
    options.nestingLimit = limits.nesting;
    return options;
}

} // namespace

RpcSession::RpcSession(kj::Own<RpcStream> stream, capnp::Capability::Client served,
                       const RpcLimits &limits)
    : m_stream(kj::mv(stream))
    , m_network(*m_stream, Side::SERVER, readerOptions(limits))
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(served)))
{
    m_rpc.setFlowLimit(limits.callsInProgress.value / sizeof(capnp::word));
}

RpcSession::RpcSession(kj::Own<RpcStream> stream, const RpcLimits &limits)
    : m_stream(kj::mv(stream))
    , m_network(*m_stream, Side::CLIENT, readerOptions(limits))
    , m_rpc(capnp::makeRpcClient(m_network))
{}

RpcSession::~RpcSession() noexcept = default;

capnp::Capability::Client RpcSession::remote()
{
    capnp::MallocMessageBuilder message;
    capnp::rpc::twoparty::VatId::Builder id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(Side::SERVER);
    return m_rpc.bootstrap(id);
}

} // namespace Tarragon
