#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/Output.h"
#include "ctl/UsageError.h"
#include "document/AdminMessages.h"
#include "document/ValueFormats.h"

#include <iostream>

namespace Tarragon {

namespace {

constexpr seconds MaxDeadline{ 24 * 3600 };
constexpr int NotFound = 404;

void addArguments(cxxopts::OptionAdder &options)
{
    options("kind", "Kind of what is drained: target, instance, domain or region",
            cxxopts::value<std::string>());
    options("id", "Id of the target, entry instance, failure domain or region",
            cxxopts::value<std::string>());
    addTokenOptions(options);
}

void addDrainOptions(cxxopts::OptionAdder &options)
{
    addArguments(options);
    options("deadline", "Time that running requests get to complete",
            cxxopts::value<std::string>()->default_value("60s"), "DURATION");
    options("reason", "Reason of the stop, shown to other operators", cxxopts::value<std::string>(),
            "TEXT");
}

PlannedStop readStop(const cxxopts::ParseResult &arguments)
{
    PlannedStop stop;
    const std::string kind = requiredArgument(arguments, "kind");
    const std::optional<StopKind> parsed = parseStopKind(kind);
    if (!parsed) {
        throw UsageError("found kind \"" + kind
                         + "\", expected target, instance, domain or region");
    }
    stop.kind = *parsed;
    stop.id = requiredArgument(arguments, "id");
    if (!isIdentifier(stop.id, true)) {
        throw UsageError("found id \"" + stop.id + "\", expected an identifier");
    }
    return stop;
}

/// Prints the result of a change of planned stops and returns the exit code.
ExitCode reportResult(const cxxopts::ParseResult &arguments, const AdminReply &reply,
                      const std::string &subject)
{
    const bool asJson = arguments.count("json") > 0;
    if (reply.status != 200) {
        return reportRefusal(reply, {}, asJson);
    }
    if (asJson) {
        std::cout << reply.body << "\n";
    } else {
        const AcceptedEdit accepted = parseAcceptedEdit(reply.body);
        std::cout << subject
                  << (accepted.isChanged ? ", accepted as generation " : ", as before at ")
                  << accepted.generation << ".\n";
    }
    return ExitCode::Done;
}

ExitCode runDrain(const cxxopts::ParseResult &arguments)
{
    PlannedStop stop = readStop(arguments);
    const SecondsFormat format{ seconds(0), MaxDeadline };
    const std::string text = arguments["deadline"].as<std::string>();
    const std::optional<seconds> deadline = format(text);
    if (!deadline) {
        throw UsageError("found deadline \"" + text + "\", expected " + format.expected());
    }
    stop.deadline = *deadline;
    stop.reason = textOption(arguments, "reason");
    const AdminReply reply =
            makeAdminClient(arguments, true).call("POST", "/admin/v1/stops", stopBody(stop));
    return reportResult(arguments, reply, "Stop of " + toString(stop.kind) + " " + stop.id);
}

ExitCode runUndrain(const cxxopts::ParseResult &arguments)
{
    const PlannedStop stop = readStop(arguments);
    const AdminReply reply =
            makeAdminClient(arguments, true)
                    .call("DELETE", "/admin/v1/stops/" + toString(stop.kind) + "/" + stop.id);
    const std::string subject = "No stop of " + toString(stop.kind) + " " + stop.id;
    if (reply.status == NotFound && reply.isRepeated) {
        // An earlier attempt removed the stop, but its response was lost.
        std::cout << (arguments.count("json") > 0 ? "{\"changed\":true}" : subject + ".") << "\n";
        return ExitCode::Done;
    }
    return reportResult(arguments, reply, subject);
}

} // namespace

Command drainCommand()
{
    return { "drain",   "Plan the stop of a target, entry instance, failure domain or region.",
             "KIND ID", { "kind", "id" },
             true,      addDrainOptions,
             runDrain };
}

Command undrainCommand()
{
    return { "undrain", "Cancel a planned stop.", "KIND ID", { "kind", "id" }, true, addArguments,
             runUndrain };
}

} // namespace Tarragon
