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
  Message.body() = pools::encode(Request);
  Channel->request(
      {std::move(Message), pools::pooled_budget::ResponseTimeoutMs},
      [this, Name](const std::optional<edge::response_message> &Response,
                   const edge::channel_timing &) {
        std::optional<pools::pool_response> Decoded;
        if (Response && Response->result() == edge::http::status::ok)
          Decoded = pools::decodeResponse(Response->body());
        Handler(Name, Decoded);
      });
}

edge::response_message servePoolRequest(pools::pool_server &Server,
                                        const edge::request_message &Request) {
  const std::optional<pools::pool_request> Decoded =
      pools::decodeRequest(Request.body());
  if (!Decoded)
    return edge::response_message(edge::http::status::bad_request, 11);
  edge::response_message Message(edge::http::status::ok, 11);
  Message.body() = pools::encode(Server.serve(*Decoded));
  return Message;
}

} // namespace tamarack::daemon
