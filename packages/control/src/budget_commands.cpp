// tamarackctl budget: create, topup, reduce, balance, grants, writeoff.
#include "commands.hpp"
#include "log_append.hpp"
#include "log_reader.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <charconv>
#include <iostream>

namespace tamarack::control {

namespace {

std::uint32_t streamCount(const command_context &Context) {
  return static_cast<std::uint32_t>(Context.Settings.getNumber("streams"));
}

ledger::amount requiredTokens(const command_context &Context) {
  const std::int64_t Tokens = Context.Settings.getNumber("tokens");
  if (Tokens <= 0)
    throw command_error(exit_code::UsageError,
                        "--tokens must be given and greater than 0");
  return Tokens;
}

const std::string &requiredBudgetName(arguments Arguments) {
  if (Arguments.size() != 2)
    throw command_error(exit_code::UsageError,
                        "exactly one budget name is needed");
  return Arguments[1];
}

// Appends one entry in a batch of a new writer. A retry may store the batch
// twice; readers count a batch once, by writer and number.
void appendEntry(command_context &Context, std::uint32_t Stream,
                 ledger::entry Entry) {
  ledger::ledger_batch Batch;
  Batch.Writer =
      ledger::makeIncarnation(Context.Clock.now(), Context.Random.next());
  Batch.Number = 1;
  Batch.CreatedAt = Context.Clock.now();
  Batch.Entries.push_back(std::move(Entry));
  appendWithRetries(Context.Log, ledger::streamName(Stream),
                    ledger::encodeBatch(Batch));
}

void printBudget(const command_context &Context, const std::string &Name,
                 const ledger::budget_state &Budget) {
  const ledger::amount Granted = Budget.Committed - Budget.Billed;
  if (!Context.Json) {
    std::cout << Name << "  prepaid " << Budget.Credits << "  billed "
              << Budget.Billed << "  granted " << Granted << "  available "
              << Budget.available();
    if (Budget.PendingReduction > 0)
      std::cout << "  reduction pending " << Budget.PendingReduction;
    std::cout << "\n";
    return;
  }
  Poco::JSON::Object Row;
  Row.set("budget", Name);
  Row.set("prepaid", Budget.Credits);
  Row.set("billed", Budget.Billed);
  Row.set("granted", Granted);
  Row.set("available", Budget.available());
  Row.set("open_grants", Budget.OpenGrants);
  Row.set("pending_reduction", Budget.PendingReduction);
  Row.stringify(std::cout);
  std::cout << "\n";
}

exit_code printBalances(command_context &Context, arguments Arguments) {
  const std::string RequestedName = Arguments.size() > 1 ? Arguments[1] : "";
  bool IsFound = false;
  for (std::uint32_t Stream = 0; Stream < streamCount(Context); ++Stream) {
    const bool IsOtherStream =
        !RequestedName.empty() &&
        ledger::streamOf(RequestedName, streamCount(Context)) != Stream;
    if (IsOtherStream)
      continue;
    ledger_reader Reader(Stream);
    Reader.readAll(Context.Log);
    for (const auto &[Name, Budget] : Reader.fold().budgets()) {
      if (!RequestedName.empty() && Name != RequestedName)
        continue;
      IsFound = true;
      printBudget(Context, Name, Budget);
    }
    const ledger::fold_counters &Counters = Reader.fold().counters();
    if (Counters.Unreadable > 0 || Counters.Violations > 0)
      std::cerr << ledger::streamName(Stream) << ": " << Counters.Unreadable
                << " unreadable records, " << Counters.Violations
                << " violations\n";
  }
  if (!RequestedName.empty() && !IsFound)
    throw command_error(exit_code::Failed,
                        "budget " + RequestedName + " does not exist");
  return exit_code::Success;
}

exit_code appendCredit(command_context &Context, arguments Arguments, int Sign,
                       bool IsCreate) {
  const std::string &Name = requiredBudgetName(Arguments);
  const std::uint32_t Stream = ledger::streamOf(Name, streamCount(Context));
  ledger_reader ReaderBefore(Stream);
  ReaderBefore.readAll(Context.Log);
  const bool Exists = ReaderBefore.fold().findBudget(Name) != nullptr;
  if (IsCreate && Exists)
    throw command_error(exit_code::Failed,
                        "budget " + Name + " already exists");
  if (!IsCreate && !Exists)
    throw command_error(exit_code::Failed,
                        "budget " + Name + " does not exist");
  ledger::credit_entry Entry;
  const std::string &Id = Context.Settings.getText("id");
  Entry.Id = ledger::makeRequestKey(
      "credit/" + Name,
      Id.empty() ? std::to_string(Context.Random.next()) : Id);
  Entry.CreatedAt = Context.Clock.now();
  Entry.Budget = Name;
  Entry.Delta = Sign * requiredTokens(Context);
  appendEntry(Context, Stream, Entry);
  ledger_reader ReaderAfter(Stream);
  ReaderAfter.readAll(Context.Log);
  const ledger::budget_state *Budget = ReaderAfter.fold().findBudget(Name);
  if (Budget == nullptr)
    throw command_error(exit_code::Failed, "the credit was rejected: budget " +
                                               Name + " still does not exist");
  printBudget(Context, Name, *Budget);
  return exit_code::Success;
}

std::string formatGrantId(const ledger::grant_id &Grant) {
  return std::to_string(Grant.Holder) + ":" + std::to_string(Grant.Number);
}

exit_code printGrants(command_context &Context, arguments Arguments) {
  const std::string &Name = requiredBudgetName(Arguments);
  ledger_reader Reader(ledger::streamOf(Name, streamCount(Context)));
  Reader.readAll(Context.Log);
  for (const auto &[Id, Grant] : Reader.fold().grants()) {
    if (Grant.Budget != Name)
      continue;
    std::cout << formatGrantId(Id) << "  amount " << Grant.Amount << "  billed "
              << Grant.Billed << "  witness " << Grant.Witness << "\n";
  }
  return exit_code::Success;
}

ledger::grant_id parseGrantId(const std::string &Text) {
  ledger::grant_id Grant;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result HolderResult =
      std::from_chars(Text.data(), End, Grant.Holder);
  const bool HasColon = HolderResult.ec == std::errc() &&
                        HolderResult.ptr != End && *HolderResult.ptr == ':';
  if (HasColon) {
    const std::from_chars_result NumberResult =
        std::from_chars(HolderResult.ptr + 1, End, Grant.Number);
    if (NumberResult.ec == std::errc() && NumberResult.ptr == End)
      return Grant;
  }
  throw command_error(exit_code::UsageError,
                      "--grant must be <holder>:<number>, as printed by "
                      "\"budget grants\"");
}

// Closes a grant whose holder and witness are both permanently gone, and
// returns its unbilled tokens to the budget.
exit_code writeOffGrant(command_context &Context, arguments Arguments) {
  const std::string &Name = requiredBudgetName(Arguments);
  const std::uint32_t Stream = ledger::streamOf(Name, streamCount(Context));
  ledger::close_entry Close;
  Close.Grant = parseGrantId(Context.Settings.getText("grant"));
  Close.WriteOff = true;
  ledger_reader Reader(Stream);
  Reader.readAll(Context.Log);
  const ledger::grant_state *Grant = Reader.fold().findGrant(Close.Grant);
  if (Grant == nullptr || Grant->Budget != Name)
    throw command_error(exit_code::Failed,
                        "budget " + Name + " has no such open grant");
  appendEntry(Context, Stream, Close);
  return printBalances(Context, Arguments);
}

} // namespace

exit_code runBudgetCommand(command_context &Context, arguments Arguments) {
  const std::string Subcommand = Arguments.empty() ? "" : Arguments.front();
  if (Subcommand == "create")
    return appendCredit(Context, Arguments, 1, true);
  if (Subcommand == "topup")
    return appendCredit(Context, Arguments, 1, false);
  if (Subcommand == "reduce")
    return appendCredit(Context, Arguments, -1, false);
  if (Subcommand == "balance")
    return printBalances(Context, Arguments);
  if (Subcommand == "grants")
    return printGrants(Context, Arguments);
  if (Subcommand == "writeoff")
    return writeOffGrant(Context, Arguments);
  throw command_error(exit_code::UsageError,
                      "\"budget\" needs one of create, topup, reduce, balance, "
                      "grants, writeoff");
}

} // namespace tamarack::control
