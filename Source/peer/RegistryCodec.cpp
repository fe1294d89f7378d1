#include "peer/RegistryCodec.h"

#include "base/Error.h"
#include "peer/WireTypes.h"

#include <optional>

namespace Tarragon {

namespace {

using WireMessage = PeerRpc::RegistryMessage;

void writeKey(PeerRpc::ClaimKey::Builder builder, const ClaimKey &key)
{
    writeInstance(builder.initRunner(), key.runner, key.runnerIncarnation);
    builder.setSequence(key.sequence);
}

ClaimKey readKey(PeerRpc::ClaimKey::Reader reader)
{
    const InstanceRun runner = readInstance(reader.getRunner());
    return ClaimKey{ runner.instance, runner.incarnation, reader.getSequence() };
}

template<typename Group>
void writeResponse(Group group, const std::optional<FinishedResponse> &response)
{
    if (!response.has_value()) {
        return;
    }
    PeerRpc::FinishedResponse::Builder builder = group.initResponse();
    builder.setStatus(response->status);
    capnp::List<PeerRpc::HeaderField>::Builder fields =
            builder.initHeaders(static_cast<unsigned int>(response->headers.size()));
    for (std::size_t i = 0; i < response->headers.size(); ++i) {
        fields[static_cast<unsigned int>(i)].setName(response->headers[i].first);
        fields[static_cast<unsigned int>(i)].setValue(response->headers[i].second);
    }
    builder.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(response->body.data()),
                                 response->body.size()));
}

template<typename Group>
std::optional<FinishedResponse> readResponse(Group group)
{
    if (!group.hasResponse()) {
        return std::nullopt;
    }
    const PeerRpc::FinishedResponse::Reader reader = group.getResponse();
    FinishedResponse response;
    response.status = reader.getStatus();
    for (const PeerRpc::HeaderField::Reader it : reader.getHeaders()) {
        response.headers.emplace_back(readText(it.getName()), readText(it.getValue()));
    }
    const capnp::Data::Reader body = reader.getBody();
    response.body.assign(reinterpret_cast<const char *>(body.begin()), body.size());
    return response;
}

/// Converts a number into an enumeration whose last value is given.
template<typename Enumeration>
Enumeration readEnumeration(std::uint8_t value, Enumeration last, const char *name)
{
    if (value > static_cast<std::uint8_t>(last)) {
        throw Error(std::string(name) + ": found " + std::to_string(value) + ", expected 0 to "
                    + std::to_string(static_cast<int>(last)));
    }
    return static_cast<Enumeration>(value);
}

/// Writes each kind of payload into its group.
struct PayloadWriter
{
    WireMessage::Builder builder;

    void operator()(const ClaimRequest &message)
    {
        WireMessage::Claim::Builder group = builder.initClaim();
        group.setRequestId(message.id.value());
        writeKey(group.initKey(), message.claim);
        group.setAttempt(message.attempt);
        group.setSettle(message.settle);
    }

    void operator()(const ClaimAnswer &message)
    {
        WireMessage::ClaimAnswer::Builder group = builder.initClaimAnswer();
        group.setRequestId(message.id.value());
        writeKey(group.initKey(), message.claim);
        group.setOutcome(static_cast<std::uint8_t>(message.outcome));
        group.setFromBackup(message.fromBackup);
        writeKey(group.initHolder(), message.holder);
        group.setVerdict(toWire(message.verdict));
        writeResponse(group, message.response);
    }

    void operator()(const OutcomeReport &message)
    {
        WireMessage::Outcome::Builder group = builder.initOutcome();
        group.setRequestId(message.id.value());
        writeKey(group.initKey(), message.claim);
        group.setVerdict(toWire(message.verdict));
        writeResponse(group, message.response);
    }

    void operator()(const ConfirmRequest &message)
    {
        WireMessage::Confirm::Builder group = builder.initConfirm();
        group.setRequestId(message.id.value());
        writeKey(group.initKey(), message.claim);
        group.setAttempt(message.attempt);
        group.setSequence(message.sequence);
        group.setOldestServed(message.oldestServed.value());
    }

    void operator()(const ConfirmAnswer &message)
    {
        WireMessage::ConfirmAnswer::Builder group = builder.initConfirmAnswer();
        group.setRequestId(message.id.value());
        group.setSequence(message.sequence);
        group.setOutcome(static_cast<std::uint8_t>(message.outcome));
    }

    void operator()(const OutcomeCopy &message)
    {
        WireMessage::OutcomeCopy::Builder group = builder.initOutcomeCopy();
        group.setRequestId(message.id.value());
        group.setSequence(message.sequence);
        group.setVerdict(toWire(message.verdict));
        writeResponse(group, message.response);
    }

    void operator()(const BackupRegistration &message)
    {
        WireMessage::Registration::Builder group = builder.initRegistration();
        writeInstance(group.initPrimary(), message.primary, message.primaryIncarnation);
        writeInstance(group.initBackup(), message.backup, message.backupIncarnation);
        group.setFrom(message.from.value());
        group.setCurrent(message.current.value());
        group.setOldestServed(message.oldestServed.value());
    }

    void operator()(const RegistrationAnswer &message)
    {
        WireMessage::RegistrationAnswer::Builder group = builder.initRegistrationAnswer();
        writeInstance(group.initPrimary(), message.primary, message.primaryIncarnation);
        writeInstance(group.initBackup(), message.backup, message.backupIncarnation);
        group.setFrom(message.from.value());
        group.setAccepted(message.accepted);
    }
};

RegistryPayload readClaim(WireMessage::Claim::Reader group)
{
    return ClaimRequest{ RequestId(readText(group.getRequestId())), readKey(group.getKey()),
                         group.getAttempt(), group.getSettle() };
}

RegistryPayload readClaimAnswer(WireMessage::ClaimAnswer::Reader group)
{
    ClaimAnswer message;
    message.id = RequestId(readText(group.getRequestId()));
    message.claim = readKey(group.getKey());
    message.outcome = readEnumeration(group.getOutcome(), ClaimOutcome::NoBackup, "outcome");
    message.fromBackup = group.getFromBackup();
    message.holder = readKey(group.getHolder());
    message.verdict = fromWire(group.getVerdict());
    message.response = readResponse(group);
    return message;
}

RegistryPayload readOutcome(WireMessage::Outcome::Reader group)
{
    return OutcomeReport{ RequestId(readText(group.getRequestId())), readKey(group.getKey()),
                          fromWire(group.getVerdict()), readResponse(group) };
}

RegistryPayload readConfirm(WireMessage::Confirm::Reader group)
{
    return ConfirmRequest{ RequestId(readText(group.getRequestId())), readKey(group.getKey()),
                           group.getAttempt(), group.getSequence(),
                           SeedGeneration(group.getOldestServed()) };
}

RegistryPayload readConfirmAnswer(WireMessage::ConfirmAnswer::Reader group)
{
    return ConfirmAnswer{ RequestId(readText(group.getRequestId())), group.getSequence(),
                          readEnumeration(group.getOutcome(), ConfirmOutcome::Stale, "outcome") };
}

RegistryPayload readOutcomeCopy(WireMessage::OutcomeCopy::Reader group)
{
    return OutcomeCopy{ RequestId(readText(group.getRequestId())), group.getSequence(),
                        fromWire(group.getVerdict()), readResponse(group) };
}

RegistryPayload readRegistration(WireMessage::Registration::Reader group)
{
    const InstanceRun primary = readInstance(group.getPrimary());
    const InstanceRun backup = readInstance(group.getBackup());
    return BackupRegistration{ primary.instance,
                               primary.incarnation,
                               backup.instance,
                               backup.incarnation,
                               SeedGeneration(group.getFrom()),
                               SeedGeneration(group.getCurrent()),
                               SeedGeneration(group.getOldestServed()) };
}

RegistryPayload readRegistrationAnswer(WireMessage::RegistrationAnswer::Reader group)
{
    const InstanceRun primary = readInstance(group.getPrimary());
    const InstanceRun backup = readInstance(group.getBackup());
    return RegistrationAnswer{ backup.instance,
                               backup.incarnation,
                               primary.instance,
                               primary.incarnation,
                               SeedGeneration(group.getFrom()),
                               group.getAccepted() };
}

} // namespace

void writeRegistryPayload(PeerRpc::RegistryMessage::Builder builder, const RegistryPayload &payload)
{
    std::visit(PayloadWriter{ builder }, payload);
}

RegistryPayload readRegistryPayload(PeerRpc::RegistryMessage::Reader reader)
{
    switch (reader.which()) {
    case WireMessage::CLAIM:
        return readClaim(reader.getClaim());
    case WireMessage::CLAIM_ANSWER:
        return readClaimAnswer(reader.getClaimAnswer());
    case WireMessage::OUTCOME:
        return readOutcome(reader.getOutcome());
    case WireMessage::CONFIRM:
        return readConfirm(reader.getConfirm());
    case WireMessage::CONFIRM_ANSWER:
        return readConfirmAnswer(reader.getConfirmAnswer());
    case WireMessage::OUTCOME_COPY:
        return readOutcomeCopy(reader.getOutcomeCopy());
    case WireMessage::REGISTRATION:
        return readRegistration(reader.getRegistration());
    case WireMessage::REGISTRATION_ANSWER:
        return readRegistrationAnswer(reader.getRegistrationAnswer());
    }
    throw Error("registry message: found kind " + std::to_string(static_cast<int>(reader.which()))
                + ", expected 0 to 7");
}

} // namespace Tarragon
