// tamarackctl check, plan, publish, show, account and key.
#include "commands.hpp"
#include "log_reader.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace tamarack::control {

namespace {

constexpr int AppendTries = 20;
constexpr int RetryMs = 250;
constexpr int DecideReads = 20; // Long polls while waiting for the decision.
constexpr int DecideWaitMs = 500;

std::string readFile(words Words) {
  if (Words.size() != 1)
    throw command_error(exit_code::Usage, "give one configuration file");
  std::ifstream File(Words.front());
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    throw command_error(exit_code::Failed, "can't read " + Words.front());
  return Text.str();
}

void printErrors(const command_context &Context, const std::string &File,
                 std::span<const config::config_error> Errors) {
  if (!Context.Json) {
    for (const config::config_error &Error : Errors)
      std::cerr << File << ": " << Error.Location << " " << Error.Message
                << "\n";
    return;
  }
  Poco::JSON::Array Rows;
  for (const config::config_error &Error : Errors) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("place", Error.Location);
    Row->set("text", Error.Message);
    Rows.add(Row);
  }
  Rows.stringify(std::cout);
  std::cout << "\n";
}

// The checked document of a file. Prints every error and throws otherwise.
config::document readChecked(const command_context &Context, words Words) {
  const std::string Text = readFile(Words);
  config::read_result Result = config::readDocument(Text);
  if (Result.Errors.empty())
    return std::move(Result.Document);
  printErrors(Context, Words.front(), Result.Errors);
  throw command_error(exit_code::Failed, std::to_string(Result.Errors.size()) +
                                             " errors in " + Words.front());
}

void printPlan(const command_context &Context, const config::plan &Plan) {
  if (Context.Json) {
    Poco::JSON::Array::Ptr Effects = new Poco::JSON::Array;
    for (const std::string &Effect : Plan.SummaryLines)
      Effects->add(Effect);
    Poco::JSON::Object Top;
    Top.set("base", Plan.BaseVersion);
    Top.set("digest", Plan.Digest);
    Top.set("changes", static_cast<Poco::UInt64>(Plan.Changes.size()));
    Top.set("effects", Effects);
    Top.stringify(std::cout);
    std::cout << "\n";
    return;
  }
  std::cout << "base version " << Plan.BaseVersion << "\n";
  for (const std::string &Effect : Plan.SummaryLines)
    std::cout << Effect << "\n";
  std::cout << "digest " << Plan.Digest << "\n";
}

std::string newId(command_context &Context) {
  return std::to_string(Context.Clock.now()) + "-" +
         std::to_string(Context.Random.next());
}

// Appends until an answer comes; a change stored twice counts once.
void appendChange(command_context &Context,
                  const config::config_change &Change) {
  const byte_string Body = config::encodeChange(Change);
  for (int Try = 1;; ++Try) {
    try {
      Context.Log.append(config::ConfigStream, Body);
      return;
    } catch (const log_unavailable &) {
      if (Try == AppendTries)
        throw;
      std::this_thread::sleep_for(std::chrono::milliseconds(RetryMs));
    }
  }
}

config::change_result waitForDecision(command_context &Context,
                                      config::config_fold &Fold,
                                      std::string_view Id) {
  for (int Read = 0; Read < DecideReads; ++Read) {
    const log_page Page =
        Context.Log.read(config::ConfigStream, Fold.nextOffset(), DecideWaitMs);
    for (const log_record &Record : Page.Records)
      Fold.apply(Record.Offset, Record.Body);
    if (const std::optional<config::change_result> Result = Fold.resultOf(Id))
      return *Result;
  }
  throw command_error(exit_code::Unavailable,
                      "the log has not shown the change yet; see "
                      "\"tamarackctl show\" later");
}

} // namespace

exit_code checkFile(command_context &Context, words Words) {
  const config::document Document = readChecked(Context, Words);
  std::cout << "valid, digest " << Document.digest() << "\n";
  return exit_code::Done;
}

exit_code planFile(command_context &Context, words Words) {
  const config::document Wanted = readChecked(Context, Words);
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  printPlan(Context,
            config::makePlan(Fold.currentDocument(), Fold.version(), Wanted));
  return exit_code::Done;
}

exit_code publishFile(command_context &Context, words Words) {
  const config::document Wanted = readChecked(Context, Words);
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  const config::plan Plan =
      config::makePlan(Fold.currentDocument(), Fold.version(), Wanted);
  const std::string &Approved = Context.Settings.getText("digest");
  const std::string &Base = Context.Settings.getText("base");
  if (!Approved.empty() && Approved != Plan.Digest)
    throw command_error(exit_code::Conflict, "the file's digest is " +
                                                 Plan.Digest +
                                                 ", approved was " + Approved);
  if (!Base.empty() && Base != std::to_string(Plan.BaseVersion))
    throw command_error(exit_code::Conflict,
                        "version " + std::to_string(Plan.BaseVersion) +
                            " is in force, reviewed was " + Base);
  if (Plan.Changes.empty()) {
    std::cout << "nothing to change, version " << Plan.BaseVersion << "\n";
    return exit_code::Done;
  }
  config::config_change Change;
  Change.Id = newId(Context);
  Change.Author = Context.Settings.getText("author");
  Change.BaseVersion = Plan.BaseVersion;
  Change.Digest = Plan.Digest;
  Change.Changes = Plan.Changes;
  appendChange(Context, Change);
  const config::change_result Result =
      waitForDecision(Context, Fold, Change.Id);
  if (Result != config::change_result::Accepted)
    throw command_error(exit_code::Conflict,
                        "not accepted: " +
                            std::string(config::toString(Result)));
  std::cout << "accepted, version " << Fold.version() << ", digest "
            << Plan.Digest << "\n";
  return exit_code::Done;
}

exit_code showConfig(command_context &Context, words) {
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  if (Context.Json) {
    Poco::JSON::Object Top;
    Top.set("version", Fold.version());
    Top.set("digest", Fold.currentDocument().digest());
    Top.set("unreadable", Fold.unreadableRecords());
    Top.stringify(std::cout);
    std::cout << "\n";
    return exit_code::Done;
  }
  std::cerr << "version " << Fold.version() << ", digest "
            << Fold.currentDocument().digest() << ", unreadable records "
            << Fold.unreadableRecords() << "\n";
  std::cout << config::writeDocument(Fold.currentDocument()) << "\n";
  return exit_code::Done;
}

exit_code listAccounts(command_context &Context, words) {
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  Poco::JSON::Array Rows;
  for (const auto &[Name, Account] : Fold.activeConfiguration()->Accounts) {
    if (!Context.Json)
      std::cout << Name << "  budget " << Account.Budget << "  priority "
                << Account.Priority << "  keys " << Account.KeyDigests.size()
                << "\n";
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("name", Name);
    Row->set("budget", Account.Budget);
    Row->set("priority", Account.Priority);
    Rows.add(Row);
  }
  if (Context.Json) {
    Rows.stringify(std::cout);
    std::cout << "\n";
  }
  return exit_code::Done;
}

exit_code digestKey(command_context &, words Words) {
  if (Words.size() != 1)
    throw command_error(exit_code::Usage, "give one bearer key");
  std::cout << config::digestOfKey(Words.front()) << "\n";
  return exit_code::Done;
}

} // namespace tamarack::control
