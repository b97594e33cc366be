// Messages about reservations of tokens, to and from other instances.
#pragma once

#include "tamarack/edge.hpp"
#include "tamarack/pools.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tamarack::daemon {

// What goes along with the messages, in both directions.
class pool_attachment {
public:
  virtual ~pool_attachment() = default;
  // For Instance, with the next message to it; may be empty.
  virtual std::string compose(std::string_view Instance) = 0;
  // Bytes came from Instance, not empty.
  virtual void read(std::string_view Instance, std::string_view Bytes) = 0;
};

class pool_link final : public pools::pool_transport {
public:
  // Path of the messages on the address for other instances.
  static constexpr char Path[] = "/pool";

  using response_handler =
      std::function<void(std::string_view Holder,
                         const std::optional<pools::pool_response> &Response)>;

  pool_link(edge::net::io_context &Context, pool_attachment &Attachment,
            response_handler Handler)
      : Context(Context), Attachment(Attachment), Handler(std::move(Handler)) {}

  void send(const grants::pool_member &Holder,
            const pools::pool_request &Request) override;

private:
  edge::net::io_context &Context;
  pool_attachment &Attachment;
  response_handler Handler;
  std::map<std::string, std::shared_ptr<edge::http_channel>>
      Channels; // By address.
};

// Responds to a message of another instance.
edge::response_message servePoolRequest(pools::pool_server &Server,
                                        pool_attachment &Attachment,
                                        const edge::request_message &Request);

} // namespace tamarack::daemon
