#pragma once

#include "ctl/ExitCode.h"

// cxxopts cuts the values of lists at this character; file names may contain its default, a comma.
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
    /// Names of the positional arguments, as help shows them; empty if there are none.
    std::string positionalHelp;
    /// Names of the options that positional arguments fill, in order.
    std::vector<std::string> positional;
    /// Whether the command takes the options to reach a server.
    bool isOnline = true;
    void (*addOptions)(cxxopts::OptionAdder &options) = nullptr;
    /// Throws UsageError, UnreachableError, or Error for an answer that cannot be read.
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

/// Parses the arguments behind the command's name and runs the command. Reports errors on standard
/// error.
ExitCode runCommand(const Command &command, int argc, const char *const *argv);

/// Value of an option with text; empty if it is not given.
std::string textOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Value of a positional argument that must be given. Throws UsageError if it is not.
std::string requiredArgument(const cxxopts::ParseResult &arguments, const std::string &name);

/// Values of an option that may be given several times.
std::vector<std::string> listOption(const cxxopts::ParseResult &arguments, const std::string &name);

} // namespace Tarragon
