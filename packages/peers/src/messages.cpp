// Messages between instances, as MessagePack.
#include "tamarack/peers.hpp"
#include "tamarack/wire.hpp"

namespace tamarack::peers {

namespace {

constexpr int FormatVersion = 5;
// Highest values that may be decoded.
constexpr int LastCall = static_cast<int>(store_call::Fence);
constexpr int LastTopic = static_cast<int>(store_topic::Streams);
constexpr int LastStatus = static_cast<int>(store_status::Unavailable);

// Wire formats. The first element is FormatVersion in both messages. The last
// element of a request has no or one key, that of a response is More.
using request_form = std::tuple<int, int, int, std::uint64_t, std::string,
                                std::uint64_t, std::uint64_t, std::string,
                                std::string, std::vector<std::string>>;
using record_form = std::tuple<std::uint64_t, std::string, std::string, bool>;
using response_form = std::tuple<int, int, std::uint64_t, int, std::uint64_t,
                                 std::vector<record_form>, int, bool>;

bool isWithin(int Value, int Last) { return Value >= 0 && Value <= Last; }

} // namespace

std::string encode(const store_request &Request) {
  std::vector<std::string> After;
  if (Request.After)
    After.push_back(*Request.After);
  return wire::pack(request_form(FormatVersion, static_cast<int>(Request.Call),
                                 static_cast<int>(Request.Topic), Request.From,
                                 Request.Writer.Name, Request.Writer.Epoch,
                                 Request.Writer.Sequence, Request.Key,
                                 Request.Value, std::move(After)));
}

std::optional<store_request> decodeRequest(std::string_view Bytes) {
  std::optional<request_form> Form =
      wire::unpack<request_form>(Bytes, FormatVersion);
  if (!Form || !isWithin(std::get<1>(*Form), LastCall) ||
      !isWithin(std::get<2>(*Form), LastTopic) || std::get<9>(*Form).size() > 1)
    return std::nullopt;
  store_request Request;
  Request.Call = static_cast<store_call>(std::get<1>(*Form));
  Request.Topic = static_cast<store_topic>(std::get<2>(*Form));
  Request.From = std::get<3>(*Form);
  Request.Writer = {std::get<4>(*Form), std::get<5>(*Form), std::get<6>(*Form)};
  Request.Key = std::move(std::get<7>(*Form));
  Request.Value = std::move(std::get<8>(*Form));
  if (!std::get<9>(*Form).empty())
    Request.After = std::move(std::get<9>(*Form).front());
  return Request;
}

std::string encode(const store_response &Response) {
  std::vector<record_form> Records;
  for (const keyed_record &Record : Response.Page.Records)
    Records.emplace_back(Record.Offset, Record.Key, Record.Value,
                         Record.Removed);
  return wire::pack(response_form(
      FormatVersion, static_cast<int>(Response.Status), Response.Era,
      static_cast<int>(Response.Page.Status), Response.Page.NextOffset,
      std::move(Records), Response.Page.StaleMs, Response.Page.More));
}

std::optional<store_response> decodeResponse(std::string_view Bytes) {
  std::optional<response_form> Form =
      wire::unpack<response_form>(Bytes, FormatVersion);
  if (!Form || !isWithin(std::get<1>(*Form), LastStatus) ||
      !isWithin(std::get<3>(*Form), LastStatus) || std::get<6>(*Form) < 0)
    return std::nullopt;
  store_response Response;
  Response.Status = static_cast<store_status>(std::get<1>(*Form));
  Response.Era = std::get<2>(*Form);
  Response.Page.Status = static_cast<store_status>(std::get<3>(*Form));
  Response.Page.NextOffset = std::get<4>(*Form);
  Response.Page.StaleMs = std::get<6>(*Form);
  Response.Page.More = std::get<7>(*Form);
  for (record_form &Record : std::get<5>(*Form))
    Response.Page.Records.push_back(
        {std::get<0>(Record), std::move(std::get<1>(Record)),
         std::move(std::get<2>(Record)), std::get<3>(Record)});
  return Response;
}

} // namespace tamarack::peers
