// What the crash guard and the path monitor need to know about endpoints.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/forwarding.hpp"
#include "tamarack/quarantine.hpp"

namespace tamarack::daemon {

// Connects to an endpoint to find out whether a process listens there.
class tcp_endpoint_prober final : public quarantine::endpoint_prober,
                                  public forwarding::path_prober {
public:
  tcp_endpoint_prober(edge::net::io_context &Context, const clock &Clock)
      : Context(Context), Clock(Clock) {}

  void probe(std::string_view Address, int DelayMs,
             quarantine::endpoint_prober::handler Handler) override;
  void probe(std::string_view Address,
             forwarding::path_prober::handler Handler) override;

private:
  // Gets the outcome of the connect.
  using connect_handler = std::function<void(const edge::error_code &Error)>;
  struct probe_connection;

  void probe(std::string_view Address, int DelayMs, connect_handler Handler);
  void connect(const std::shared_ptr<probe_connection> &Probe);

  edge::net::io_context &Context;
  const clock &Clock;
};

// Looks endpoints up in the load balancer's list.
class listed_endpoints final : public quarantine::endpoint_lookup {
public:
  explicit listed_endpoints(const dispatch::load_balancer &LoadBalancer)
      : LoadBalancer(LoadBalancer) {}

  std::optional<quarantine::endpoint_info>
  find(std::string_view Endpoint) const override;

private:
  const dispatch::load_balancer &LoadBalancer;
};

} // namespace tamarack::daemon
