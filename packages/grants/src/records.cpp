// MessagePack encoding of the grant and watermark records.
#include "tamarack/grants.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>

namespace tamarack::grants {

namespace {

constexpr int FormatVersion = 2;
constexpr std::size_t MaxTextBytes = 256; // Of a name or address.

// The elements from Previous and from Base on may be missing: records of older
// instances lack them.
using holder_line_tuple =
    std::tuple<std::string, std::int64_t, std::int64_t, bool, std::int64_t>;
using id_tuple = std::tuple<std::uint64_t, std::uint64_t>;
using holder_tuple =
    std::tuple<int, std::uint64_t, std::uint64_t, std::string, bool,
               std::vector<holder_line_tuple>, id_tuple, id_tuple, std::string,
               std::int64_t, std::string>;

using watermark_tuple =
    std::tuple<int, std::uint64_t, std::uint64_t, std::string, time_ms,
               std::vector<std::tuple<std::string, std::int64_t>>>;

id_tuple tupleOf(record_id Id) { return {Id.Incarnation, Id.WriteNumber}; }

record_id idOf(const id_tuple &Fields) {
  return {std::get<0>(Fields), std::get<1>(Fields)};
}

constexpr std::string_view LostKeyPrefix = "lost/";

bool isTokenCount(std::int64_t Value) {
  return Value >= 0 && Value <= MaxTokens;
}

} // namespace

std::string lostRecordKey(std::string_view Instance) {
  return std::string(LostKeyPrefix).append(Instance);
}

std::optional<std::string_view> holderOfLostRecord(std::string_view Key) {
  if (!Key.starts_with(LostKeyPrefix))
    return std::nullopt;
  return Key.substr(LostKeyPrefix.size());
}

std::string encode(const watermark_record &Record) {
  std::vector<std::tuple<std::string, std::int64_t>> Lines;
  for (const watermark_line &Line : Record.Lines)
    Lines.emplace_back(Line.Account, Line.Watermark);
  return wire::pack(watermark_tuple(FormatVersion, Record.Incarnation,
                                    Record.Epoch, Record.BootId, Record.SentAt,
                                    std::move(Lines)));
}

// Without a watermark record, a new incarnation charges the complete ceiling of
// the previous one.
std::optional<watermark_record> decodeWatermark(std::string_view Bytes) {
  const std::optional<watermark_tuple> Fields =
      wire::unpack<watermark_tuple>(Bytes, FormatVersion);
  if (!Fields)
    return std::nullopt;
  watermark_record Record;
  Record.Incarnation = std::get<1>(*Fields);
  Record.Epoch = std::get<2>(*Fields);
  Record.BootId = std::get<3>(*Fields);
  Record.SentAt = std::get<4>(*Fields);
  for (const auto &[Account, Watermark] : std::get<5>(*Fields))
    Record.Lines.push_back({Account, Watermark});
  return Record;
}

std::string encode(const holder_record &Record) {
  std::vector<holder_line_tuple> Lines;
  for (const account_line &Line : Record.Lines)
    Lines.emplace_back(Line.Account, Line.Ceiling, Line.Used,
                       Line.ShortOfTokens, Line.Previous);
  return wire::pack(
      holder_tuple(FormatVersion, Record.Incarnation, Record.WriteNumber,
                   Record.PeerAddress, Record.HasLeft, std::move(Lines),
                   tupleOf(Record.Base), tupleOf(Record.Recovered), Record.Zone,
                   Record.ConfigurationVersion, Record.ForwardAddress));
}

std::optional<holder_record> decodeHolder(std::string_view Bytes) {
  const std::optional<holder_tuple> Fields =
      wire::unpack<holder_tuple>(Bytes, FormatVersion);
  if (!Fields || std::get<3>(*Fields).size() > MaxTextBytes ||
      std::get<8>(*Fields).size() > MaxTextBytes ||
      std::get<10>(*Fields).size() > MaxTextBytes)
    return std::nullopt;
  holder_record Record;
  Record.Incarnation = std::get<1>(*Fields);
  Record.WriteNumber = std::get<2>(*Fields);
  Record.PeerAddress = std::get<3>(*Fields);
  Record.HasLeft = std::get<4>(*Fields);
  for (const holder_line_tuple &Line : std::get<5>(*Fields)) {
    const auto &[Account, Ceiling, Used, ShortOfTokens, Previous] = Line;
    if (!isTokenCount(Ceiling) || !isTokenCount(Previous) ||
        Account.size() > MaxTextBytes)
      return std::nullopt;
    Record.Lines.push_back({Account, Ceiling,
                            std::clamp<std::int64_t>(Used, 0, MaxTokens),
                            ShortOfTokens, Previous});
  }
  Record.Base = idOf(std::get<6>(*Fields));
  Record.Recovered = idOf(std::get<7>(*Fields));
  Record.Zone = std::get<8>(*Fields);
  // A record of a former build lacks the version, which is then 0, and the
  // address.
  Record.ConfigurationVersion = std::get<9>(*Fields);
  Record.ForwardAddress = std::get<10>(*Fields);
  return Record;
}

} // namespace tamarack::grants
