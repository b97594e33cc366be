// Forms of request keys.
#include "tamarack/calls.hpp"

#include <charconv>
#include <cstdio>

namespace tamarack::calls {

namespace {

constexpr std::string_view TicketPrefix =
    "t1-"; // t1-<run>-<ms>-<number>-<instance>
constexpr std::string_view MintedPrefix = "k1-"; // k1-<ms>-<random>
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidTimeDigits = 12;

template <typename number>
bool readNumber(std::string_view Text, int Base, number &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Read =
      std::from_chars(Text.data(), End, Result, Base);
  return !Text.empty() && Read.ec == std::errc() && Read.ptr == End;
}

// Cuts the part before the next '-' off Rest.
std::string_view cutPart(std::string_view &Rest) {
  const std::size_t Dash = Rest.find('-');
  const std::string_view Part = Rest.substr(0, Dash);
  Rest = Dash == std::string_view::npos ? std::string_view()
                                        : Rest.substr(Dash + 1);
  return Part;
}

bool readTicket(std::string_view Text, call_key &Key) {
  if (!Text.starts_with(TicketPrefix))
    return false;
  std::string_view Rest = Text.substr(TicketPrefix.size());
  std::uint64_t Number = 0;
  const bool Good = readNumber(cutPart(Rest), 16, Key.Runner.Incarnation) &&
                    readNumber(cutPart(Rest), 10, Key.Minted) &&
                    readNumber(cutPart(Rest), 10, Number) && Key.Minted > 0 &&
                    !Rest.empty();
  if (!Good)
    return false;
  Key.Runner.Instance = std::string(Rest);
  Key.Form = key_form::Ticket;
  return true;
}

bool readMinted(std::string_view Text, call_key &Key) {
  if (!Text.starts_with(MintedPrefix))
    return false;
  std::string_view Rest = Text.substr(MintedPrefix.size());
  std::uint64_t Random = 0;
  const bool Good = readNumber(cutPart(Rest), 10, Key.Minted) &&
                    readNumber(Rest, 16, Random) && Key.Minted > 0;
  if (Good)
    Key.Form = key_form::Timed;
  return Good;
}

// The first 48 bits of a UUID of version 7 are its time in ms.
bool readUuid(std::string_view Text, call_key &Key) {
  constexpr std::size_t Dashes[] = {8, 13, 18, 23};
  constexpr std::size_t VersionAt = 14;
  if (Text.size() != UuidLength || Text[VersionAt] != '7')
    return false;
  std::string Digits;
  for (std::size_t Index = 0; Index < UuidLength; ++Index) {
    const bool Dash = Index == Dashes[0] || Index == Dashes[1] ||
                      Index == Dashes[2] || Index == Dashes[3];
    if (Dash != (Text[Index] == '-'))
      return false;
    if (!Dash)
      Digits.push_back(Text[Index]);
  }
  std::uint64_t Low = 0;
  const std::string_view View(Digits);
  const bool Good =
      readNumber(View.substr(0, UuidTimeDigits), 16, Key.Minted) &&
      readNumber(View.substr(16), 16, Low) && Key.Minted > 0;
  if (Good)
    Key.Form = key_form::Timed;
  return Good;
}

} // namespace

call_key parseKey(std::string_view Text) {
  call_key Key;
  Key.Text = std::string(Text);
  if (readTicket(Text, Key) || readMinted(Text, Key) || readUuid(Text, Key))
    return Key;
  Key.Minted = 0;
  Key.Runner = {};
  return Key;
}

std::string mintKey(time_ms Now, std::uint64_t Random) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "k1-%lld-%llx", static_cast<long long>(Now),
                static_cast<unsigned long long>(Random));
  return Text;
}

std::string mintTicket(const money::executor_id &Runner, time_ms Now,
                       std::uint64_t Number) {
  char Text[80];
  std::snprintf(Text, sizeof Text, "t1-%llx-%lld-%llu-",
                static_cast<unsigned long long>(Runner.Incarnation),
                static_cast<long long>(Now),
                static_cast<unsigned long long>(Number));
  return Text + Runner.Instance;
}

} // namespace tamarack::calls
