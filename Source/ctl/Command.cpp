#include "ctl/Command.h"

#include "ctl/UnreachableError.h"
#include "ctl/UsageError.h"

#include <iostream>

namespace Tarragon {

namespace {

constexpr const char *ExitCodesHelp =
        "Exit codes: 0 done, 1 usage, 2 findings in the document, 3 conflict, 4 unreachable,\n"
        "5 refused.\n";

ExitCode printError(const std::string &text, ExitCode code)
{
    std::cerr << "tarragonctl: " << text << "\n";
    return code;
}

cxxopts::Options makeOptions(const Command &command)
{
    cxxopts::Options options("tarragonctl " + command.name, command.summary + "\n");
    options.positional_help(command.positionalHelp);
    cxxopts::OptionAdder adder = options.add_options();
    if (command.isOnline) {
        adder("server",
              "Administration address of an entry. May be repeated; the next one is tried when "
              "one cannot be reached. Default: the addresses in TARRAGON_SERVER",
              cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT");
        adder("timeout", "Time to wait for the response of each server, in seconds",
              cxxopts::value<int>()->default_value("10"), "SECONDS");
    }
    if (command.addOptions != nullptr) {
        command.addOptions(adder);
    }
    adder("json", "Print JSON");
    adder("help", "Show this help");
    options.parse_positional(command.positional);
    return options;
}

} // namespace

ExitCode runCommand(const Command &command, int argc, const char *const *argv)
{
    try {
        cxxopts::Options options = makeOptions(command);
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << "\n" << ExitCodesHelp;
            return ExitCode::Done;
        }
        if (!arguments.unmatched().empty()) {
            throw UsageError("found argument \"" + arguments.unmatched().front()
                             + "\", expected no further argument");
        }
        return command.run(arguments);
    } catch (const cxxopts::exceptions::exception &e) {
        return printError(std::string(e.what()) + "; see tarragonctl " + command.name + " --help",
                          ExitCode::Usage);
    } catch (const UsageError &e) {
        return printError(std::string(e.what()) + "; see tarragonctl " + command.name + " --help",
                          ExitCode::Usage);
    } catch (const Error &e) {
        // Either UnreachableError, or the response is not one of the administration API.
        return printError(e.what(), ExitCode::Unreachable);
    }
}

std::string textOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return arguments.count(name) > 0 ? arguments[name].as<std::string>() : std::string();
}

std::string requiredArgument(const cxxopts::ParseResult &arguments, const std::string &name)
{
    std::string text = textOption(arguments, name);
    if (text.empty()) {
        throw UsageError("found no " + name + ", expected one");
    }
    return text;
}

std::vector<std::string> listOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return arguments.count(name) > 0 ? arguments[name].as<std::vector<std::string>>()
                                     : std::vector<std::string>();
}

} // namespace Tarragon
