// tamarackctl: command line tool for operators.
#include "commands.hpp"

#include <Poco/Exception.h>

#include <iostream>

namespace {

using namespace tamarack;
using control::exit_code;

constexpr std::string_view Help =
    "Commands:\n"
    "  check FILE               list all errors in a configuration file, and\n"
    "                           what has no effect in it; --against FILE, or\n"
    "                           \"active\": also what it would change there\n"
    "  plan FILE                show what publishing the file would change\n"
    "  publish FILE             publish the file; --digest and --base as "
    "reviewed\n"
    "  show                     active configuration\n"
    "  account                  client accounts\n"
    "  budget create NAME       --tokens N [--id ID]\n"
    "  budget topup NAME        --tokens N [--id ID]\n"
    "  budget reduce NAME       --tokens N [--id ID]\n"
    "  budget balance [NAME]    prepaid, billed, granted, available\n"
    "  budget grants NAME       open grants\n"
    "  budget writeoff NAME     --grant G, only if holder and witness are\n"
    "                           permanently gone\n"
    "  instances                instances and their state\n"
    "  burn                     burn rates of the service-level objectives,\n"
    "                           all instances together\n"
    "  errors                   all error kinds that callers can get\n"
    "  key KEY                  digest of a bearer key for the configuration\n"
    "\n"
    "Exit codes: 0 success, 1 failed, 2 usage error, 3 unavailable,\n"
    "4 conflict, 5 valid with warnings (check).";

struct command {
  std::string_view Name;
  exit_code (*Run)(control::command_context &, control::arguments);
};

constexpr command Commands[] = {
    {"check", control::checkConfigFile},
    {"plan", control::planConfigFile},
    {"publish", control::publishConfigFile},
    {"show", control::showConfig},
    {"account", control::listAccounts},
    {"budget", control::runBudgetCommand},
    {"instances", control::listInstances},
    {"burn", control::showBurn},
    {"errors", control::listErrorKinds},
    {"key", control::printKeyDigest},
};

void declareSettings(adapters::program_settings &Settings) {
  Settings.addText("platform-url", "http://127.0.0.1:7000",
                   "URL of the platform's log and instance list");
  Settings.addNumber("streams", "4", 1, 4096, "ledger streams of the fleet");
  Settings.addNumber("tokens", "0", 0, 1'000'000'000'000'000, "prepaid tokens");
  Settings.addText("id", "", "id of a credit; credits with one id count once");
  Settings.addText("grant", "", "a grant as shown by \"budget grants\"");
  Settings.addText("digest", "", "digest of the file that was approved");
  Settings.addText("against", "",
                   "configuration file to compare with, or \"active\"");
  Settings.addText("base", "", "base version that was reviewed");
  Settings.addText("author", "operator", "author of the published change");
  Settings.addText("admin-key", "", "bearer key for /admin of the instances");
  Settings.addFlag("json", "print JSON");
  adapters::addTlsSettings(Settings, "client-",
                           "the platform and the instances");
  Settings.allowPositionals(std::string(Help));
}

class control_setting_check final : public adapters::settings_check {
public:
  void check(const adapters::program_settings &Settings,
             std::vector<std::string> &Errors) const override {
    adapters::checkTlsSettings(Settings, "client-", Errors);
  }
};

exit_code run(int Count, char **Arguments) {
  adapters::program_settings Settings("tamarackctl",
                                      "command line tool for operators");
  declareSettings(Settings);
  const control_setting_check Check;
  if (!Settings.read(Count, Arguments, &Check))
    return exit_code::Success;
  const std::vector<std::string> &CommandWords = Settings.getPositionals();
  if (CommandWords.empty())
    throw control::command_error(exit_code::UsageError,
                                 "give a command; see --help");
  const adapters::tls_files TlsFiles =
      adapters::readTlsFiles(Settings, "client-");
  adapters::http_client HttpClient(
      TlsFiles.enabled() ? adapters::makeClientContext(TlsFiles) : nullptr);
  adapters::platform_log Log(HttpClient, Settings.getText("platform-url"));
  adapters::platform_instance_list InstanceList(
      HttpClient, Settings.getText("platform-url"));
  adapters::system_clock Clock;
  adapters::system_random Random;
  control::command_context Context{Settings,
                                   Log,
                                   InstanceList,
                                   HttpClient,
                                   Clock,
                                   Random,
                                   Settings.getFlag("json")};
  for (const command &Command : Commands)
    if (Command.Name == CommandWords.front())
      return Command.Run(Context, control::arguments(CommandWords).subspan(1));
  throw control::command_error(exit_code::UsageError, "unknown command " +
                                                          CommandWords.front() +
                                                          "; see --help");
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
    return static_cast<int>(exit_code::UsageError);
  } catch (const log_unavailable &Error) {
    std::cerr << "tamarackctl: the platform is unavailable: " << Error.what()
              << "\n";
    return static_cast<int>(exit_code::Unavailable);
  } catch (const std::exception &Error) {
    std::cerr << "tamarackctl: " << Error.what() << "\n";
    return static_cast<int>(exit_code::Failed);
  }
}
