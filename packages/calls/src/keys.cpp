// Parses and mints idempotency keys.
#include "tamarack/calls.hpp"

#include <charconv>
#include <cstdio>

namespace tamarack::calls {

namespace {

// Ticket: t1-<incarnation, hex>-<ms>-<random>-<instance>
constexpr std::string_view TicketPrefix = "t1-";
// Key minted by a daemon: k1-<ms>-<random, hex>
constexpr std::string_view MintedKeyPrefix = "k1-";
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidTimestampDigits = 12;

template <typename number>
bool readNumber(std::string_view Text, int Base, number &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Read =
      std::from_chars(Text.data(), End, Result, Base);
  return !Text.empty() && Read.ec == std::errc() && Read.ptr == End;
}

// Removes the field before the next '-' from Rest and returns it.
std::string_view takeField(std::string_view &Rest) {
  const std::size_t Dash = Rest.find('-');
  const std::string_view Field = Rest.substr(0, Dash);
  Rest = Dash == std::string_view::npos ? std::string_view()
                                        : Rest.substr(Dash + 1);
  return Field;
}

bool readTicket(std::string_view Text, idempotency_key &Key) {
  if (!Text.starts_with(TicketPrefix))
    return false;
  std::string_view Rest = Text.substr(TicketPrefix.size());
  std::uint64_t Random = 0;
  const bool Parsed =
      readNumber(takeField(Rest), 16, Key.Executor.Incarnation) &&
      readNumber(takeField(Rest), 10, Key.MintedAt) &&
      readNumber(takeField(Rest), 10, Random) && Key.MintedAt > 0 &&
      !Rest.empty();
  if (!Parsed)
    return false;
  Key.Executor.Instance = std::string(Rest);
  Key.Form = key_form::Ticket;
  return true;
}

bool readMintedKey(std::string_view Text, idempotency_key &Key) {
  if (!Text.starts_with(MintedKeyPrefix))
    return false;
  std::string_view Rest = Text.substr(MintedKeyPrefix.size());
  std::uint64_t Random = 0;
  const bool Parsed = readNumber(takeField(Rest), 10, Key.MintedAt) &&
                      readNumber(Rest, 16, Random) && Key.MintedAt > 0;
  if (Parsed)
    Key.Form = key_form::Timestamped;
  return Parsed;
}

// The first 48 bits of a UUID of version 7 are its mint time in ms since the
// epoch.
bool readUuidV7(std::string_view Text, idempotency_key &Key) {
  constexpr std::size_t DashIndexes[] = {8, 13, 18, 23};
  constexpr std::size_t VersionIndex = 14;
  if (Text.size() != UuidLength || Text[VersionIndex] != '7')
    return false;
  std::string Digits;
  for (std::size_t Index = 0; Index < UuidLength; ++Index) {
    const bool ExpectDash = Index == DashIndexes[0] ||
                            Index == DashIndexes[1] ||
                            Index == DashIndexes[2] || Index == DashIndexes[3];
    if (ExpectDash != (Text[Index] == '-'))
      return false;
    if (!ExpectDash)
      Digits.push_back(Text[Index]);
  }
  std::uint64_t LowBits = 0;
  const std::string_view DigitView(Digits);
  const bool Parsed =
      readNumber(DigitView.substr(0, UuidTimestampDigits), 16, Key.MintedAt) &&
      readNumber(DigitView.substr(16), 16, LowBits) && Key.MintedAt > 0;
  if (Parsed)
    Key.Form = key_form::Timestamped;
  return Parsed;
}

} // namespace

idempotency_key parseKey(std::string_view Text) {
  idempotency_key Key;
  Key.Text = std::string(Text);
  if (readTicket(Text, Key) || readMintedKey(Text, Key) ||
      readUuidV7(Text, Key))
    return Key;
  Key.MintedAt = 0;
  Key.Executor = {};
  return Key;
}

std::string mintKey(time_ms Now, std::uint64_t Random) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "k1-%lld-%llx", static_cast<long long>(Now),
                static_cast<unsigned long long>(Random));
  return Text;
}

std::string mintTicket(const ledger::executor_id &Executor, time_ms Now,
                       std::uint64_t Random) {
  char Text[80];
  std::snprintf(Text, sizeof Text, "t1-%llx-%lld-%llu-",
                static_cast<unsigned long long>(Executor.Incarnation),
                static_cast<long long>(Now),
                static_cast<unsigned long long>(Random));
  return Text + Executor.Instance;
}

} // namespace tamarack::calls
