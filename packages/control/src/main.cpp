// tamarackctl: the operators' tool.
#include "commands.hpp"

#include <Poco/Exception.h>

#include <iostream>

namespace {

using namespace tamarack;
using control::exit_code;

constexpr std::string_view Help =
    "Commands:\n"
    "  check FILE               check a configuration file, every error\n"
    "  plan FILE                what publishing it would change\n"
    "  publish FILE             publish it; --digest and --base as reviewed\n"
    "  show                     configuration in force\n"
    "  account                  client accounts\n"
    "  budget create NAME       --tokens N [--id ID]\n"
    "  budget topup NAME        --tokens N [--id ID]\n"
    "  budget reduce NAME       --tokens N [--id ID]\n"
    "  budget balance [NAME]    prepaid, billed, granted, available\n"
    "  budget grants NAME       open grants\n"
    "  budget writeoff NAME     --grant G, only if holder and witness are "
    "gone\n"
    "  instances                instances and their state\n"
    "  burn                     service-level burn, all instances together\n"
    "  errors                   every error kind that callers can get\n"
    "  key KEY                  digest of a bearer key for the configuration\n"
    "\n"
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 out of reach, 4 conflict.";

struct command {
  std::string_view Name;
  exit_code (*Run)(control::command_context &, control::words);
};

constexpr command Commands[] = {
    {"check", control::checkFile},         {"plan", control::planFile},
    {"publish", control::publishFile},     {"show", control::showConfig},
    {"account", control::listAccounts},    {"budget", control::handleBudget},
    {"instances", control::listInstances}, {"burn", control::showBurn},
    {"errors", control::listErrors},       {"key", control::digestKey},
};

void declare(adapters::program_settings &Settings) {
  Settings.addText("platform-url", "http://127.0.0.1:7000",
                   "address of the platform's log and list");
  Settings.addNumber("streams", "4", 1, 4096, "ledger streams of the fleet");
  Settings.addNumber("tokens", "0", 0, 1'000'000'000'000'000, "prepaid tokens");
  Settings.addText("id", "", "id of a credit; the same id counts once");
  Settings.addText("grant", "", "a grant as shown by \"budget grants\"");
  Settings.addText("digest", "", "digest that was approved");
  Settings.addText("base", "", "version that was reviewed");
  Settings.addText("author", "operator", "who publishes");
  Settings.addText("admin-key", "", "bearer key for /admin of the instances");
  Settings.addFlag("json", "print JSON");
  adapters::addTlsSettings(Settings, "client-",
                           "the platform and the instances");
  Settings.allowPositionals(std::string(Help));
}

class control_checks final : public adapters::settings_check {
public:
  void check(const adapters::program_settings &Settings,
             std::vector<std::string> &Errors) const override {
    adapters::checkTlsSettings(Settings, "client-", Errors);
  }
};

exit_code run(int Count, char **Arguments) {
  adapters::program_settings Settings("tamarackctl", "operators' tool");
  declare(Settings);
  const control_checks Checks;
  if (!Settings.read(Count, Arguments, &Checks))
    return exit_code::Done;
  const std::vector<std::string> &Words = Settings.getPositionals();
  if (Words.empty())
    throw control::command_error(exit_code::Usage,
                                 "give a command; see --help");
  const adapters::tls_files Tls = adapters::readTlsFiles(Settings, "client-");
  adapters::http_client Link(Tls.enabled() ? adapters::makeClientContext(Tls)
                                           : nullptr);
  adapters::platform_log Log(Link, Settings.getText("platform-url"));
  adapters::platform_instance_list List(Link, Settings.getText("platform-url"));
  adapters::system_clock Clock;
  adapters::system_random Random;
  control::command_context Context{
      Settings, Log, List, Link, Clock, Random, Settings.getFlag("json")};
  for (const command &Command : Commands)
    if (Command.Name == Words.front())
      return Command.Run(Context, control::words(Words).subspan(1));
  throw control::command_error(
      exit_code::Usage, "unknown command " + Words.front() + "; see --help");
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return static_cast<int>(run(Count, Arguments));
  } catch (const control::command_error &Error) {
    std::cerr << "tamarackctl: " << Error.what() << "\n";
    return static_cast<int>(Error.Code);
  } catch (const adapters::settings_error &Error) {
    std::cerr << "tamarackctl: " << Error.what() << "\n";
    return static_cast<int>(exit_code::Usage);
  } catch (const log_unavailable &Error) {
    std::cerr << "tamarackctl: the platform is away: " << Error.what() << "\n";
    return static_cast<int>(exit_code::Unavailable);
  } catch (const std::exception &Error) {
    std::cerr << "tamarackctl: " << Error.what() << "\n";
    return static_cast<int>(exit_code::Failed);
  }
}
