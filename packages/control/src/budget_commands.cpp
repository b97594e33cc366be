// tamarackctl budget: create, topup, reduce, balance, grants, writeoff.
#include "commands.hpp"
#include "log_reader.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <charconv>
#include <iostream>

namespace tamarack::control {

namespace {

constexpr int AppendTries = 40;
constexpr int RetryMs = 250;

std::uint32_t streamsOf(const command_context &Context) {
  return static_cast<std::uint32_t>(Context.Settings.getNumber("streams"));
}

money::amount tokensOf(const command_context &Context) {
  const std::int64_t Tokens = Context.Settings.getNumber("tokens");
  if (Tokens <= 0)
    throw command_error(exit_code::Usage, "give --tokens, more than 0");
  return Tokens;
}

const std::string &oneName(words Words) {
  if (Words.size() != 2)
    throw command_error(exit_code::Usage, "give one budget name");
  return Words[1];
}

// Appends one entry as a writer of its own. The batch may be stored twice;
// it counts once.
void appendEntry(command_context &Context, std::uint32_t Stream,
                 money::entry Entry) {
  money::ledger_batch Batch;
  Batch.Writer =
      money::makeIncarnation(Context.Clock.now(), Context.Random.next());
  Batch.Number = 1;
  Batch.CreatedAt = Context.Clock.now();
  Batch.Entries.push_back(std::move(Entry));
  const byte_string Body = money::encodeBatch(Batch);
  for (int Try = 1;; ++Try) {
    try {
      Context.Log.append(money::streamName(Stream), Body);
      return;
    } catch (const log_unavailable &) {
      if (Try == AppendTries)
        throw;
      std::this_thread::sleep_for(std::chrono::milliseconds(RetryMs));
    }
  }
}

void printBudget(const command_context &Context, const std::string &Name,
                 const money::budget_state &Budget) {
  const money::amount Granted = Budget.Committed - Budget.Billed;
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

exit_code showBalances(command_context &Context, words Words) {
  const std::string Wanted = Words.size() > 1 ? Words[1] : "";
  bool Found = false;
  for (std::uint32_t Stream = 0; Stream < streamsOf(Context); ++Stream) {
    const bool Skip = !Wanted.empty() &&
                      money::streamOf(Wanted, streamsOf(Context)) != Stream;
    if (Skip)
      continue;
    ledger_reader Reader(Stream);
    Reader.readAll(Context.Log);
    for (const auto &[Name, Budget] : Reader.fold().budgets()) {
      if (!Wanted.empty() && Name != Wanted)
        continue;
      Found = true;
      printBudget(Context, Name, Budget);
    }
    const money::fold_counters &Counters = Reader.fold().counters();
    if (Counters.Unreadable > 0 || Counters.Violations > 0)
      std::cerr << money::streamName(Stream) << ": " << Counters.Unreadable
                << " unreadable records, " << Counters.Violations
                << " violations\n";
  }
  if (!Wanted.empty() && !Found)
    throw command_error(exit_code::Failed, "no budget " + Wanted);
  return exit_code::Done;
}

exit_code credit(command_context &Context, words Words, int Sign, bool Create) {
  const std::string &Name = oneName(Words);
  const std::uint32_t Stream = money::streamOf(Name, streamsOf(Context));
  ledger_reader Before(Stream);
  Before.readAll(Context.Log);
  const bool Exists = Before.fold().findBudget(Name) != nullptr;
  if (Create && Exists)
    throw command_error(exit_code::Failed, "budget " + Name + " exists");
  if (!Create && !Exists)
    throw command_error(exit_code::Failed, "no budget " + Name);
  money::credit_entry Entry;
  const std::string &Id = Context.Settings.getText("id");
  Entry.Id = money::makeRequestKey(
      "credit/" + Name,
      Id.empty() ? std::to_string(Context.Random.next()) : Id);
  Entry.CreatedAt = Context.Clock.now();
  Entry.Budget = Name;
  Entry.Delta = Sign * tokensOf(Context);
  appendEntry(Context, Stream, Entry);
  ledger_reader After(Stream);
  After.readAll(Context.Log);
  const money::budget_state *Budget = After.fold().findBudget(Name);
  if (Budget == nullptr)
    throw command_error(exit_code::Failed, "the credit was rejected");
  printBudget(Context, Name, *Budget);
  return exit_code::Done;
}

std::string grantText(const money::grant_id &Grant) {
  return std::to_string(Grant.Holder) + ":" + std::to_string(Grant.Number);
}

exit_code listGrants(command_context &Context, words Words) {
  const std::string &Name = oneName(Words);
  ledger_reader Reader(money::streamOf(Name, streamsOf(Context)));
  Reader.readAll(Context.Log);
  for (const auto &[Id, Grant] : Reader.fold().grants()) {
    if (Grant.Budget != Name)
      continue;
    std::cout << grantText(Id) << "  amount " << Grant.Amount << "  billed "
              << Grant.Billed << "  witness " << Grant.Witness << "\n";
  }
  return exit_code::Done;
}

money::grant_id readGrant(const std::string &Text) {
  money::grant_id Grant;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Holder =
      std::from_chars(Text.data(), End, Grant.Holder);
  const bool Colon =
      Holder.ec == std::errc() && Holder.ptr != End && *Holder.ptr == ':';
  if (Colon) {
    const std::from_chars_result Number =
        std::from_chars(Holder.ptr + 1, End, Grant.Number);
    if (Number.ec == std::errc() && Number.ptr == End)
      return Grant;
  }
  throw command_error(exit_code::Usage,
                      "--grant must be <holder>:<number> as shown by "
                      "\"budget grants\"");
}

// Frees the rest of a grant whose holder and witness are both gone for good.
exit_code writeOff(command_context &Context, words Words) {
  const std::string &Name = oneName(Words);
  const std::uint32_t Stream = money::streamOf(Name, streamsOf(Context));
  money::close_entry Close;
  Close.Grant = readGrant(Context.Settings.getText("grant"));
  Close.WriteOff = true;
  ledger_reader Reader(Stream);
  Reader.readAll(Context.Log);
  const money::grant_state *Grant = Reader.fold().findGrant(Close.Grant);
  if (Grant == nullptr || Grant->Budget != Name)
    throw command_error(exit_code::Failed, "no such open grant");
  appendEntry(Context, Stream, Close);
  return showBalances(Context, Words);
}

} // namespace

exit_code handleBudget(command_context &Context, words Words) {
  const std::string Verb = Words.empty() ? "" : Words.front();
  if (Verb == "create")
    return credit(Context, Words, 1, true);
  if (Verb == "topup")
    return credit(Context, Words, 1, false);
  if (Verb == "reduce")
    return credit(Context, Words, -1, false);
  if (Verb == "balance")
    return showBalances(Context, Words);
  if (Verb == "grants")
    return listGrants(Context, Words);
  if (Verb == "writeoff")
    return writeOff(Context, Words);
  throw command_error(
      exit_code::Usage,
      "budget takes create, topup, reduce, balance, grants or writeoff");
}

} // namespace tamarack::control
