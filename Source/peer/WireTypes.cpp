#include "peer/WireTypes.h"

namespace Tarragon {

std::string readText(capnp::Text::Reader text)
{
    return std::string(text.begin(), text.size());
}

void writeInstance(PeerRpc::InstanceRef::Builder builder, const InstanceId &instance,
                   Incarnation incarnation)
{
    builder.setInstance(instance.value());
    builder.setIncarnation(incarnation.value());
}

InstanceRun readInstance(PeerRpc::InstanceRef::Reader reader)
{
    return InstanceRun{ InstanceId(readText(reader.getInstance())),
                        Incarnation(reader.getIncarnation()) };
}

PeerRpc::Verdict toWire(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return PeerRpc::Verdict::NOT_RUN;
    case Verdict::MayHaveRun:
        return PeerRpc::Verdict::MAY_HAVE_RUN;
    case Verdict::Ran:
        return PeerRpc::Verdict::RAN;
    }
    return PeerRpc::Verdict::MAY_HAVE_RUN;
}

Verdict fromWire(PeerRpc::Verdict verdict)
{
    switch (verdict) {
    case PeerRpc::Verdict::NOT_RUN:
        return Verdict::NotRun;
    case PeerRpc::Verdict::MAY_HAVE_RUN:
        return Verdict::MayHaveRun;
    case PeerRpc::Verdict::RAN:
        return Verdict::Ran;
    }
    return Verdict::MayHaveRun;
}

} // namespace Tarragon
