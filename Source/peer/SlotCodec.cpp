#include "peer/SlotCodec.h"

#include "peer/WireTypes.h"

namespace Tarragon {

namespace {

void writeGrantIds(capnp::List<std::uint64_t>::Builder builder, const std::vector<GrantId> &ids)
{
    for (std::size_t i = 0; i < ids.size(); ++i) {
        builder.set(static_cast<unsigned int>(i), ids[i].value());
    }
}

std::vector<GrantId> readGrantIds(capnp::List<std::uint64_t>::Reader reader)
{
    std::vector<GrantId> ids;
    ids.reserve(reader.size());
    for (const std::uint64_t it : reader) {
        ids.emplace_back(it);
    }
    return ids;
}

unsigned int listSize(std::size_t n)
{
    return static_cast<unsigned int>(n);
}

} // namespace

void writeShareReport(PeerRpc::ShareReport::Builder builder, const ShareReport &report)
{
    builder.setSequence(report.sequence);
    builder.setAdopted(report.adopted.value());
    builder.setSettled(report.settled.value());
    builder.setClosed(report.closed.value());
    builder.setEchoedIncarnation(report.echoedIncarnation.value());
    builder.setEchoedSequence(report.echoedSequence);
}

ShareReport readShareReport(PeerRpc::ShareReport::Reader reader, const InstanceId &from,
                            Incarnation fromIncarnation)
{
    ShareReport report;
    report.from = from;
    report.fromIncarnation = fromIncarnation;
    report.sequence = reader.getSequence();
    report.adopted = Generation(reader.getAdopted());
    report.settled = Generation(reader.getSettled());
    report.closed = Generation(reader.getClosed());
    report.echoedIncarnation = Incarnation(reader.getEchoedIncarnation());
    report.echoedSequence = reader.getEchoedSequence();
    return report;
}

void writeGrantRequest(PeerRpc::SlotRequest::Builder builder, const GrantRequest &request)
{
    writeInstance(builder.initSender(), request.from, request.fromIncarnation);
    writeInstance(builder.initReceiver(), request.to, request.toIncarnation);
    builder.setSequence(request.sequence);
    capnp::List<capnp::Text>::Builder wanted = builder.initWanted(listSize(request.wanted.size()));
    for (std::size_t i = 0; i < request.wanted.size(); ++i) {
        wanted.set(listSize(i), request.wanted[i].value());
    }
    writeGrantIds(builder.initRenewals(listSize(request.renewals.size())), request.renewals);
    writeGrantIds(builder.initReturns(listSize(request.returns.size())), request.returns);
}

GrantRequest readGrantRequest(PeerRpc::SlotRequest::Reader reader)
{
    const InstanceRun sender = readInstance(reader.getSender());
    const InstanceRun receiver = readInstance(reader.getReceiver());
    GrantRequest request;
    request.from = sender.instance;
    request.fromIncarnation = sender.incarnation;
    request.to = receiver.instance;
    request.toIncarnation = receiver.incarnation;
    request.sequence = reader.getSequence();
    for (const capnp::Text::Reader it : reader.getWanted()) {
        request.wanted.emplace_back(readText(it));
    }
    request.renewals = readGrantIds(reader.getRenewals());
    request.returns = readGrantIds(reader.getReturns());
    return request;
}

void writeGrantResponse(PeerRpc::SlotResponse::Builder builder, const GrantResponse &response)
{
    writeInstance(builder.initSender(), response.from, response.fromIncarnation);
    writeInstance(builder.initReceiver(), response.to, response.toIncarnation);
    builder.setSequence(response.sequence);
    builder.setDurationUs(static_cast<std::uint64_t>(response.duration.count()));
    capnp::List<PeerRpc::SlotGrant>::Builder granted =
            builder.initGranted(listSize(response.granted.size()));
    for (std::size_t i = 0; i < response.granted.size(); ++i) {
        granted[listSize(i)].setGrant(response.granted[i].id.value());
        granted[listSize(i)].setTarget(response.granted[i].target.value());
    }
    writeGrantIds(builder.initRenewed(listSize(response.renewed.size())), response.renewed);
}

GrantResponse readGrantResponse(PeerRpc::SlotResponse::Reader reader)
{
    const InstanceRun sender = readInstance(reader.getSender());
    const InstanceRun receiver = readInstance(reader.getReceiver());
    GrantResponse response;
    response.from = sender.instance;
    response.fromIncarnation = sender.incarnation;
    response.to = receiver.instance;
    response.toIncarnation = receiver.incarnation;
    response.sequence = reader.getSequence();
    response.duration = microseconds(reader.getDurationUs());
    for (const PeerRpc::SlotGrant::Reader it : reader.getGranted()) {
        response.granted.push_back(
                SlotGrant{ GrantId(it.getGrant()), TargetId(readText(it.getTarget())) });
    }
    response.renewed = readGrantIds(reader.getRenewed());
    return response;
}

} // namespace Tarragon
