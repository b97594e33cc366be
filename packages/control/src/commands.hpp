// Commands of tamarackctl. Each prints its result and returns the exit code, or
// throws command_error.
#pragma once

#include "tamarack/adapters.hpp"

#include <span>
#include <stdexcept>
#include <string>

namespace tamarack::control {

// Exit codes of tamarackctl.
enum class exit_code {
  Success = 0,
  Failed = 1,      // The file, budget or grant is invalid, missing or rejected.
  UsageError = 2,  // An argument, flag or environment variable is wrong.
  Unavailable = 3, // The platform or an instance does not respond.
  Conflict = 4,    // Another version is active, the digest differs from the
                   // approved one, or the change was rejected.
  Warnings = 5,    // The file is valid, but parts of it have no effect.
};

// Ends a command with a message and an exit code.
struct command_error : std::runtime_error {
  command_error(exit_code Code, const std::string &Text)
      : std::runtime_error(Text), Code(Code) {}
  exit_code Code;
};

// Settings and services for all commands.
struct command_context {
  const adapters::program_settings &Settings;
  append_log &Log;
  instance_list &InstanceList;
  endpoint_client &HttpClient;
  clock &Clock;
  random_source &Random;
  bool Json = false; // Print JSON.
};

using arguments = std::span<const std::string>; // Without the command's name.

exit_code checkConfigFile(command_context &Context, arguments Arguments);
exit_code planConfigFile(command_context &Context, arguments Arguments);
exit_code publishConfigFile(command_context &Context, arguments Arguments);
exit_code showConfig(command_context &Context, arguments Arguments);
exit_code listAccounts(command_context &Context, arguments Arguments);
exit_code runBudgetCommand(command_context &Context, arguments Arguments);
exit_code listInstances(command_context &Context, arguments Arguments);
exit_code showBurn(command_context &Context, arguments Arguments);
exit_code listErrorKinds(command_context &Context, arguments Arguments);
exit_code printKeyDigest(command_context &Context, arguments Arguments);

} // namespace tamarack::control
