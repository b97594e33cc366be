// Records of the grants topic, as MessagePack.
#include "tamarack/grants.hpp"

#include <msgpack.hpp>

namespace tamarack::grants {

namespace {

constexpr int FormatVersion = 2;
constexpr std::size_t LargestText = 256; // Bytes of a name or address.

using line_form = std::tuple<std::string, std::int64_t, std::int64_t, bool>;
using record_form = std::tuple<int, std::uint64_t, std::uint64_t, std::string,
                               bool, std::vector<line_form>>;

using mark_form =
    std::tuple<int, std::uint64_t, std::uint64_t, std::string, time_ms,
               std::vector<std::tuple<std::string, std::int64_t>>>;

} // namespace

std::string encode(const watermark_record &Record) {
  std::vector<std::tuple<std::string, std::int64_t>> Lines;
  for (const watermark_line &Line : Record.Lines)
    Lines.emplace_back(Line.Account, Line.Mark);
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer,
                mark_form(FormatVersion, Record.Incarnation, Record.Epoch,
                          Record.BootId, Record.Stamp, std::move(Lines)));
  return std::string(Buffer.data(), Buffer.size());
}

std::optional<watermark_record> decodeWatermark(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    mark_form Form;
    Handle.get().convert(Form);
    if (std::get<0>(Form) != FormatVersion)
      return std::nullopt;
    watermark_record Record;
    Record.Incarnation = std::get<1>(Form);
    Record.Epoch = std::get<2>(Form);
    Record.BootId = std::get<3>(Form);
    Record.Stamp = std::get<4>(Form);
    for (const auto &[Account, Mark] : std::get<5>(Form))
      Record.Lines.push_back({Account, Mark});
    return Record;
  } catch (const std::exception &) {
    // Not one of our records; nothing is freed by it.
    return std::nullopt;
  }
}

std::string encode(const holder_record &Record) {
  std::vector<line_form> Lines;
  for (const account_line &Line : Record.Lines)
    Lines.emplace_back(Line.Account, Line.Ceiling, Line.Used, Line.Wanted);
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, record_form(FormatVersion, Record.Incarnation,
                                    Record.WriteNumber, Record.PeerAddress,
                                    Record.Left, std::move(Lines)));
  return std::string(Buffer.data(), Buffer.size());
}

std::optional<holder_record> decode(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    record_form Form;
    Handle.get().convert(Form);
    if (std::get<0>(Form) != FormatVersion ||
        std::get<3>(Form).size() > LargestText)
      return std::nullopt;
    holder_record Record;
    Record.Incarnation = std::get<1>(Form);
    Record.WriteNumber = std::get<2>(Form);
    Record.PeerAddress = std::get<3>(Form);
    Record.Left = std::get<4>(Form);
    for (const line_form &Line : std::get<5>(Form)) {
      if (std::get<1>(Line) < 0 || std::get<0>(Line).size() > LargestText)
        return std::nullopt;
      Record.Lines.push_back({std::get<0>(Line), std::get<1>(Line),
                              std::get<2>(Line), std::get<3>(Line)});
    }
    return Record;
  } catch (const std::exception &) {
    // Not one of our records; the caller counts it.
    return std::nullopt;
  }
}

} // namespace tamarack::grants
