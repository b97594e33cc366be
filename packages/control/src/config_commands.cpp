// tamarackctl check, plan, publish, show, account and key.
#include "commands.hpp"
#include "log_append.hpp"
#include "log_reader.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace tamarack::control {

namespace {

constexpr int MaxDecisionReads = 20; // Long polls of DecisionReadWaitMs each.
constexpr int DecisionReadWaitMs = 500;

// Of the flag "against": the active version, in place of a file.
constexpr char ActiveVersion[] = "active";

std::string readFile(const std::string &Name) {
  std::ifstream File(Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    throw command_error(exit_code::Failed, "cannot read " + Name);
  return Text.str();
}

const std::string &fileNameOf(arguments Arguments) {
  if (Arguments.size() != 1)
    throw command_error(exit_code::UsageError,
                        "exactly one configuration file is needed");
  return Arguments.front();
}

// Rows of objects with "place" and "text".
template <typename Remark>
Poco::JSON::Array::Ptr makeRows(std::span<const Remark> Remarks) {
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (const Remark &Each : Remarks) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("place", Each.Location);
    Row->set("text", Each.Message);
    Rows->add(Row);
  }
  return Rows;
}

void printErrors(const command_context &Context, const std::string &File,
                 std::span<const config::config_error> Errors) {
  if (!Context.Json) {
    for (const config::config_error &Error : Errors)
      std::cerr << File << ": " << Error.Location << " " << Error.Message
                << "\n";
    return;
  }
  makeRows(Errors)->stringify(std::cout);
  std::cout << "\n";
}

// Reads and validates a configuration file. If the file is invalid, prints all
// errors and throws.
config::document readValidDocument(const command_context &Context,
                                   const std::string &Name) {
  config::read_result Result = config::readDocument(readFile(Name));
  if (Result.Errors.empty())
    return std::move(Result.Document);
  printErrors(Context, Name, Result.Errors);
  throw command_error(exit_code::Failed, std::to_string(Result.Errors.size()) +
                                             " errors in " + Name);
}

config::document readValidDocument(const command_context &Context,
                                   arguments Arguments) {
  return readValidDocument(Context, fileNameOf(Arguments));
}

Poco::JSON::Array::Ptr makeEffects(const config::plan &Plan) {
  Poco::JSON::Array::Ptr Effects = new Poco::JSON::Array;
  for (const std::string &Effect : Plan.SummaryLines)
    Effects->add(Effect);
  return Effects;
}

void printPlan(const command_context &Context, const config::plan &Plan) {
  if (Context.Json) {
    Poco::JSON::Object Root;
    Root.set("base", Plan.BaseVersion);
    Root.set("digest", Plan.Digest);
    Root.set("changes", static_cast<Poco::UInt64>(Plan.Changes.size()));
    Root.set("effects", makeEffects(Plan));
    Root.stringify(std::cout);
    std::cout << "\n";
    return;
  }
  std::cout << "base version " << Plan.BaseVersion << "\n";
  for (const std::string &Effect : Plan.SummaryLines)
    std::cout << Effect << "\n";
  std::cout << "digest " << Plan.Digest << "\n";
}

std::string makeChangeId(command_context &Context) {
  return std::to_string(Context.Clock.now()) + "-" +
         std::to_string(Context.Random.next());
}

config::change_result waitForDecision(command_context &Context,
                                      config::config_fold &Fold,
                                      std::string_view Id) {
  for (int ReadCount = 0; ReadCount < MaxDecisionReads; ++ReadCount) {
    const log_page Page = Context.Log.read(
        config::ConfigStream, Fold.nextOffset(), DecisionReadWaitMs);
    for (const log_record &Record : Page.Records)
      Fold.apply(Record.Offset, Record.Body);
    if (const std::optional<config::change_result> Result = Fold.resultOf(Id))
      return *Result;
  }
  throw command_error(exit_code::Unavailable,
                      "the change is not readable in the log yet; check "
                      "\"tamarackctl show\" later");
}

// What publishing the document would change in the version that the flag
// "against" names, empty without it.
std::optional<config::plan> planAgainst(command_context &Context,
                                        const config::document &Proposed) {
  const std::string &Against = Context.Settings.getText("against");
  if (Against.empty())
    return std::nullopt;
  if (Against != ActiveVersion)
    return config::makePlan(readValidDocument(Context, Against), 0, Proposed);
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  return config::makePlan(Fold.currentDocument(), Fold.version(), Proposed);
}

void printCheck(const std::string &Name, const std::string &Digest,
                std::span<const config::config_warning> Warnings,
                const std::optional<config::plan> &Plan) {
  for (const config::config_warning &Warning : Warnings)
    std::cout << Name << ": warning: " << Warning.Location << " "
              << Warning.Message << "\n";
  if (Plan)
    for (const std::string &Effect : Plan->SummaryLines)
      std::cout << Effect << "\n";
  std::cout << "valid, ";
  if (!Warnings.empty())
    std::cout << Warnings.size() << " warnings, ";
  std::cout << "digest " << Digest << "\n";
}

void printCheckAsJson(const std::string &Digest,
                      std::span<const config::config_warning> Warnings,
                      const std::optional<config::plan> &Plan) {
  Poco::JSON::Object Root;
  Root.set("digest", Digest);
  Root.set("warnings", makeRows(Warnings));
  if (Plan) {
    Root.set("base", Plan->BaseVersion);
    Root.set("effects", makeEffects(*Plan));
  }
  Root.stringify(std::cout);
  std::cout << "\n";
}

} // namespace

exit_code checkConfigFile(command_context &Context, arguments Arguments) {
  const config::document Document = readValidDocument(Context, Arguments);
  std::vector<config::config_error> Errors;
  const std::shared_ptr<const config::configuration> Configuration =
      config::buildConfiguration(Document, 0, Errors);
  const std::vector<config::config_warning> Warnings =
      config::findWarnings(*Configuration);
  const std::optional<config::plan> Plan = planAgainst(Context, Document);
  if (Context.Json)
    printCheckAsJson(Document.digest(), Warnings, Plan);
  else
    printCheck(Arguments.front(), Document.digest(), Warnings, Plan);
  return Warnings.empty() ? exit_code::Success : exit_code::Warnings;
}

exit_code planConfigFile(command_context &Context, arguments Arguments) {
  const config::document NewDocument = readValidDocument(Context, Arguments);
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  printPlan(Context, config::makePlan(Fold.currentDocument(), Fold.version(),
                                      NewDocument));
  return exit_code::Success;
}

exit_code publishConfigFile(command_context &Context, arguments Arguments) {
  const config::document NewDocument = readValidDocument(Context, Arguments);
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  const config::plan Plan =
      config::makePlan(Fold.currentDocument(), Fold.version(), NewDocument);
  const std::string &ApprovedDigest = Context.Settings.getText("digest");
  const std::string &ReviewedBase = Context.Settings.getText("base");
  if (!ApprovedDigest.empty() && ApprovedDigest != Plan.Digest)
    throw command_error(exit_code::Conflict,
                        "the file has digest " + Plan.Digest +
                            ", but the approved digest is " + ApprovedDigest);
  if (!ReviewedBase.empty() && ReviewedBase != std::to_string(Plan.BaseVersion))
    throw command_error(exit_code::Conflict,
                        "version " + std::to_string(Plan.BaseVersion) +
                            " is active, but the reviewed base is " +
                            ReviewedBase);
  if (Plan.Changes.empty()) {
    std::cout << "no changes, version " << Plan.BaseVersion << "\n";
    return exit_code::Success;
  }
  config::config_change Change;
  Change.Id = makeChangeId(Context);
  Change.Author = Context.Settings.getText("author");
  Change.BaseVersion = Plan.BaseVersion;
  Change.Digest = Plan.Digest;
  Change.Changes = Plan.Changes;
  // Readers apply a change once, by its id.
  appendWithRetries(Context.Log, config::ConfigStream,
                    config::encodeChange(Change));
  const config::change_result Result =
      waitForDecision(Context, Fold, Change.Id);
  if (Result != config::change_result::Accepted)
    throw command_error(exit_code::Conflict,
                        "change not accepted: " +
                            std::string(config::toString(Result)));
  std::cout << "accepted, version " << Fold.version() << ", digest "
            << Plan.Digest << "\n";
  return exit_code::Success;
}

exit_code showConfig(command_context &Context, arguments) {
  config::config_fold Fold;
  readConfig(Context.Log, Fold);
  if (Context.Json) {
    Poco::JSON::Object Root;
    Root.set("version", Fold.version());
    Root.set("digest", Fold.currentDocument().digest());
    Root.set("unreadable", Fold.unreadableRecords());
    Root.stringify(std::cout);
    std::cout << "\n";
    return exit_code::Success;
  }
  std::cerr << "version " << Fold.version() << ", digest "
            << Fold.currentDocument().digest() << ", unreadable records "
            << Fold.unreadableRecords() << "\n";
  std::cout << config::writeDocument(Fold.currentDocument()) << "\n";
  return exit_code::Success;
}

exit_code listAccounts(command_context &Context, arguments) {
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
  return exit_code::Success;
}

exit_code printKeyDigest(command_context &, arguments Arguments) {
  if (Arguments.size() != 1)
    throw command_error(exit_code::UsageError,
                        "exactly one bearer key is needed");
  std::cout << config::digestOfKey(Arguments.front()) << "\n";
  return exit_code::Success;
}

} // namespace tamarack::control
