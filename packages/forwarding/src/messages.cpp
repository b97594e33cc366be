// Messages between instances about forwarded calls.
#include "tamarack/forwarding.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <charconv>

namespace tamarack::forwarding {

namespace {

constexpr int FormatVersion = 1;
constexpr char Digits[] = "0123456789abcdef";
// Longest wait that an instance may advise.
constexpr int MaxRetryAfterMs = 3'600'000;

using call_tuple =
    std::tuple<int, std::string, std::string, std::string, std::string>;
using result_tuple =
    std::tuple<int, std::string, std::int64_t, std::string, bool>;
using error_tuple = std::tuple<int, std::string, int>;

std::string toHex(std::string_view Bytes) {
  std::string Text;
  for (const char Byte : Bytes) {
    const unsigned Value = static_cast<unsigned char>(Byte);
    Text.push_back(Digits[Value >> 4]);
    Text.push_back(Digits[Value & 0xF]);
  }
  return Text;
}

// Empty if Text has other characters than digits, which is no message either.
std::string fromHex(std::string_view Text) {
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Text.size(); At += 2) {
    unsigned char Value = 0;
    const char *const Begin = Text.data() + At;
    const std::from_chars_result Read =
        std::from_chars(Begin, Begin + 2, Value, 16);
    if (Read.ec != std::errc() || Read.ptr != Begin + 2)
      return {};
    Bytes.push_back(static_cast<char>(Value));
  }
  return Bytes;
}

} // namespace

std::string encode(const forwarded_call &Call) {
  return toHex(wire::pack(call_tuple(FormatVersion, Call.Instance, Call.Account,
                                     Call.Service, Call.RequiredVersion)));
}

std::string encode(const relay::forwarded_result &Result) {
  return toHex(
      wire::pack(result_tuple(FormatVersion, Result.Endpoint, Result.StartedAt,
                              Result.Version, Result.IsVersionCertain)));
}

std::string encode(const relay::placement_refusal &Error) {
  return toHex(wire::pack(error_tuple(
      FormatVersion, std::string(calls::definitionOf(Error.Kind).Name),
      Error.RetryAfterMs)));
}

std::optional<forwarded_call> decodeCall(std::string_view Text) {
  const std::optional<call_tuple> Fields =
      wire::unpack<call_tuple>(fromHex(Text), FormatVersion);
  if (!Fields || std::get<1>(*Fields).empty())
    return std::nullopt;
  forwarded_call Call;
  std::tie(std::ignore, Call.Instance, Call.Account, Call.Service,
           Call.RequiredVersion) = *Fields;
  return Call;
}

std::optional<relay::forwarded_result> decodeResult(std::string_view Text) {
  const std::optional<result_tuple> Fields =
      wire::unpack<result_tuple>(fromHex(Text), FormatVersion);
  if (!Fields)
    return std::nullopt;
  relay::forwarded_result Result;
  std::tie(std::ignore, Result.Endpoint, Result.StartedAt, Result.Version,
           Result.IsVersionCertain) = *Fields;
  return Result;
}

std::optional<relay::placement_refusal> decodeError(std::string_view Text) {
  const std::optional<error_tuple> Fields =
      wire::unpack<error_tuple>(fromHex(Text), FormatVersion);
  if (!Fields)
    return std::nullopt;
  const std::string &Name = std::get<1>(*Fields);
  const std::span<const calls::error_definition> Errors = calls::allErrors();
  const auto Found = std::find_if(
      Errors.begin(), Errors.end(),
      [&Name](const calls::error_definition &Row) { return Row.Name == Name; });
  if (Found == Errors.end())
    return std::nullopt;
  return relay::placement_refusal{
      Found->Kind, std::clamp(std::get<2>(*Fields), 0, MaxRetryAfterMs)};
}

} // namespace tamarack::forwarding
