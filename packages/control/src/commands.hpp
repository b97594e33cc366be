// Commands of tamarackctl.
#pragma once

#include "tamarack/adapters.hpp"

#include <span>
#include <stdexcept>
#include <string>

namespace tamarack::control {

// Exit codes of tamarackctl.
enum class exit_code {
  Done = 0,
  Failed = 1,      // The command ran and its subject is bad or refused.
  Usage = 2,       // Words, flags or variables are wrong.
  Unavailable = 3, // The platform or an instance can't be reached.
  Conflict = 4,    // The base has moved or the digest differs.
};

// Ends a command with a message and an exit code.
struct command_error : std::runtime_error {
  command_error(exit_code Code, const std::string &Text)
      : std::runtime_error(Text), Code(Code) {}
  exit_code Code;
};

// What every command may use.
struct command_context {
  const adapters::program_settings &Settings;
  append_log &Log;
  instance_list &List;
  endpoint_client &Link;
  clock &Clock;
  random_source &Random;
  bool Json = false;
};

using words = std::span<const std::string>; // After the command's own name.

exit_code checkFile(command_context &Context, words Words);
exit_code planFile(command_context &Context, words Words);
exit_code publishFile(command_context &Context, words Words);
exit_code showConfig(command_context &Context, words Words);
exit_code listAccounts(command_context &Context, words Words);
exit_code handleBudget(command_context &Context, words Words);
exit_code listInstances(command_context &Context, words Words);
exit_code showBurn(command_context &Context, words Words);
exit_code listErrors(command_context &Context, words Words);
exit_code digestKey(command_context &Context, words Words);

} // namespace tamarack::control
