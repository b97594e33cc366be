// Messages between instances, as MessagePack.
#include "tamarack/peers.hpp"

#include <msgpack.hpp>

namespace tamarack::peers {

namespace {

constexpr int FormatVersion = 2;
constexpr int LastCall = static_cast<int>(store_call::Fence);
constexpr int LastTopic = static_cast<int>(store_topic::Marks);
constexpr int LastStatus = static_cast<int>(store_status::Unavailable);

using request_form =
    std::tuple<int, int, int, std::uint64_t, std::string, std::uint64_t,
               std::uint64_t, std::string, std::string>;
using record_form = std::tuple<std::uint64_t, std::string, std::string, bool>;
using answer_form =
    std::tuple<int, int, int, std::uint64_t, std::vector<record_form>>;

template <typename Form> std::string packed(const Form &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return std::string(Buffer.data(), Buffer.size());
}

template <typename Form> std::optional<Form> unpacked(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    Form Value;
    Handle.get().convert(Value);
    if (std::get<0>(Value) != FormatVersion)
      return std::nullopt;
    return Value;
  } catch (const std::exception &) {
    // Not a message of ours; the caller answers so.
    return std::nullopt;
  }
}

bool isWithin(int Value, int Last) { return Value >= 0 && Value <= Last; }

} // namespace

std::string encode(const store_request &Request) {
  return packed(request_form(FormatVersion, static_cast<int>(Request.Call),
                             static_cast<int>(Request.Topic), Request.From,
                             Request.Writer.Name, Request.Writer.Epoch,
                             Request.Writer.Sequence, Request.Key,
                             Request.Value));
}

std::optional<store_request> decodeRequest(std::string_view Bytes) {
  std::optional<request_form> Form = unpacked<request_form>(Bytes);
  if (!Form || !isWithin(std::get<1>(*Form), LastCall) ||
      !isWithin(std::get<2>(*Form), LastTopic))
    return std::nullopt;
  store_request Request;
  Request.Call = static_cast<store_call>(std::get<1>(*Form));
  Request.Topic = static_cast<store_topic>(std::get<2>(*Form));
  Request.From = std::get<3>(*Form);
  Request.Writer = {std::get<4>(*Form), std::get<5>(*Form), std::get<6>(*Form)};
  Request.Key = std::move(std::get<7>(*Form));
  Request.Value = std::move(std::get<8>(*Form));
  return Request;
}

std::string encode(const store_response &Answer) {
  std::vector<record_form> Records;
  for (const keyed_record &Record : Answer.Page.Records)
    Records.emplace_back(Record.Offset, Record.Key, Record.Value,
                         Record.Removed);
  return packed(answer_form(FormatVersion, static_cast<int>(Answer.Status),
                            static_cast<int>(Answer.Page.Status),
                            Answer.Page.End, std::move(Records)));
}

std::optional<store_response> decodeResponse(std::string_view Bytes) {
  std::optional<answer_form> Form = unpacked<answer_form>(Bytes);
  if (!Form || !isWithin(std::get<1>(*Form), LastStatus) ||
      !isWithin(std::get<2>(*Form), LastStatus))
    return std::nullopt;
  store_response Answer;
  Answer.Status = static_cast<store_status>(std::get<1>(*Form));
  Answer.Page.Status = static_cast<store_status>(std::get<2>(*Form));
  Answer.Page.End = std::get<3>(*Form);
  for (record_form &Record : std::get<4>(*Form))
    Answer.Page.Records.push_back(
        {std::get<0>(Record), std::move(std::get<1>(Record)),
         std::move(std::get<2>(Record)), std::get<3>(Record)});
  return Answer;
}

} // namespace tamarack::peers
