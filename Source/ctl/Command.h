#pragma once

#include "ctl/ExitCode.h"

// cxxopts splits the values of list options at this character. Its default, a comma, may occur in
// file names.
#define CXXOPTS_VECTOR_DELIMITER '\n'
#include <cxxopts.hpp>

#include <string>
#include <vector>

namespace Tarragon {

/// One command of tarragonctl.
struct Command
{
    std::string name;
    std::string summary;
    /// Placeholders of the positional arguments in the help text; empty if there are none.
    std::string positionalHelp;
    /// Names of the options that hold the positional arguments, in order.
    std::vector<std::string> positional;
    /// Whether the command calls a server and so has the options --server and --timeout.
    bool isOnline = true;
    void (*addOptions)(cxxopts::OptionAdder &options) = nullptr;
    /// Throws UsageError, UnreachableError, or Error for a response that cannot be parsed.
    ExitCode (*run)(const cxxopts::ParseResult &arguments) = nullptr;
};

Command checkCommand();
Command applyCommand();
Command showCommand();
Command diffCommand();
Command historyCommand();
Command drainCommand();
Command undrainCommand();
Command statusCommand();
Command whyCommand();
Command explainCommand();

/// Parses the arguments that follow the name of the command and runs the command. Prints errors to
/// standard error.
ExitCode runCommand(const Command &command, int argc, const char *const *argv);

/// Returns the value of a text option; empty if the option is not given.
std::string textOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Returns the value of a required positional argument. Throws UsageError if it is missing.
std::string requiredArgument(const cxxopts::ParseResult &arguments, const std::string &name);

/// Returns the values of an option that may be given several times.
std::vector<std::string> listOption(const cxxopts::ParseResult &arguments, const std::string &name);

} // namespace Tarragon
