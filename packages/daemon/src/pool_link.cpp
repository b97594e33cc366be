// Messages about reservations of tokens, to and from other instances.
#include "pool_link.hpp"

namespace tamarack::daemon {

void pool_link::send(const grants::pool_member &Holder,
                     const pools::pool_request &Request) {
  const std::string Name = Holder.Instance;
  std::shared_ptr<edge::http_channel> &Channel = Channels[Holder.Address];
  if (!Channel)
    Channel = std::make_shared<edge::http_channel>(Context, Holder.Address);
  edge::request_message Message(edge::http::verb::post, Path, 11);
  pools::pool_request Attached = Request;
  Attached.Attachment = Attachment.compose(Name);
  Message.body() = pools::encode(Attached);
  Channel->request(
      {std::move(Message), pools::pooled_budget::ResponseTimeoutMs},
      [this, Name](const std::optional<edge::response_message> &Response,
                   const edge::channel_timing &) {
        std::optional<pools::pool_response> Decoded;
        if (Response && Response->result() == edge::http::status::ok)
          Decoded = pools::decodeResponse(Response->body());
        if (Decoded && !Decoded->Attachment.empty())
          Attachment.read(Name, Decoded->Attachment);
        Handler(Name, Decoded);
      });
}

edge::response_message servePoolRequest(pools::pool_server &Server,
                                        pool_attachment &Attachment,
                                        const edge::request_message &Request) {
  const std::optional<pools::pool_request> Decoded =
      pools::decodeRequest(Request.body());
  if (!Decoded)
    return edge::response_message(edge::http::status::bad_request, 11);
  edge::response_message Message(edge::http::status::ok, 11);
  if (!Decoded->Attachment.empty())
    Attachment.read(Decoded->Instance, Decoded->Attachment);
  pools::pool_response Response = Server.serve(*Decoded);
  Response.Attachment = Attachment.compose(Decoded->Instance);
  Message.body() = pools::encode(Response);
  return Message;
}

} // namespace tamarack::daemon
