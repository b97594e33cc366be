// Messages between the holder of tokens and other instances, as MessagePack.
#include "tamarack/pools.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>

namespace tamarack::pools {

namespace {

constexpr int FormatVersion = 1;
constexpr std::size_t MaxNameBytes = 256; // Of an instance or account.
constexpr int LastResult = static_cast<int>(reserve_result::Exhausted);

using settlement_form = std::tuple<std::uint64_t, std::int64_t>;
using wanted_form = std::tuple<std::uint64_t, std::string, std::int64_t>;
// The last element of both messages is the attachment. Programs without it
// ignore it, and leave it out: it is empty then.
using request_form =
    std::tuple<int, std::string, std::uint64_t, std::vector<settlement_form>,
               std::vector<wanted_form>, std::string>;
using response_form = std::tuple<int, bool, std::vector<int>, std::string>;

bool isTokenCount(std::int64_t Tokens, std::int64_t Least) {
  return Tokens >= Least && Tokens <= grants::MaxTokens;
}

} // namespace

std::string encode(const pool_request &Request) {
  std::vector<settlement_form> Settled;
  for (const token_settlement &Settlement : Request.Settled)
    Settled.emplace_back(Settlement.Number, Settlement.Used);
  std::vector<wanted_form> Wanted;
  for (const token_request &Item : Request.Wanted)
    Wanted.emplace_back(Item.Number, Item.Account, Item.Bound);
  return wire::pack(request_form(FormatVersion, Request.Instance,
                                 Request.Incarnation, std::move(Settled),
                                 std::move(Wanted), Request.Attachment));
}

std::string encode(const pool_response &Response) {
  std::vector<int> Results;
  for (reserve_result Result : Response.Results)
    Results.push_back(static_cast<int>(Result));
  return wire::pack(response_form(FormatVersion, Response.IsServing,
                                  std::move(Results), Response.Attachment));
}

std::optional<pool_request> decodeRequest(std::string_view Bytes) {
  const std::optional<request_form> Form =
      wire::unpack<request_form>(Bytes, FormatVersion);
  if (!Form)
    return std::nullopt;
  const auto &[Version, Instance, Incarnation, Settled, Wanted, Attachment] =
      *Form;
  if (Instance.empty() || Instance.size() > MaxNameBytes || Incarnation == 0 ||
      Settled.size() > MaxMessageItems || Wanted.size() > MaxMessageItems)
    return std::nullopt;
  pool_request Request{Instance, Incarnation, {}, {}, {}};
  if (Attachment.size() <= MaxAttachmentBytes)
    Request.Attachment = Attachment;
  for (const auto &[Number, Used] : Settled) {
    if (!isTokenCount(Used, 0))
      return std::nullopt;
    Request.Settled.push_back({Number, Used});
  }
  for (const auto &[Number, Account, Bound] : Wanted) {
    if (!isTokenCount(Bound, 1) || Account.size() > MaxNameBytes)
      return std::nullopt;
    Request.Wanted.push_back({Number, Account, Bound});
  }
  return Request;
}

std::optional<pool_response> decodeResponse(std::string_view Bytes) {
  const std::optional<response_form> Form =
      wire::unpack<response_form>(Bytes, FormatVersion);
  if (!Form)
    return std::nullopt;
  pool_response Response;
  Response.IsServing = std::get<1>(*Form);
  if (std::get<3>(*Form).size() <= MaxAttachmentBytes)
    Response.Attachment = std::get<3>(*Form);
  for (int Result : std::get<2>(*Form)) {
    if (Result < 0 || Result > LastResult)
      return std::nullopt;
    Response.Results.push_back(static_cast<reserve_result>(Result));
  }
  return Response;
}

} // namespace tamarack::pools
