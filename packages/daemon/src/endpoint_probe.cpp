// Probes endpoints by TCP connections, and looks them up.
#include "endpoint_probe.hpp"

namespace tamarack::daemon {

namespace {

constexpr int ProbeTimeoutMs = 500;

} // namespace

// One connection attempt; lives until its handlers have run.
struct tcp_endpoint_prober::probe_connection {
  probe_connection(edge::net::io_context &Context, edge::tcp::endpoint Address,
                   connect_handler Handler)
      : Socket(Context), Timer(Context), Address(std::move(Address)),
        Handler(std::move(Handler)) {}
  edge::tcp::socket Socket;
  edge::net::steady_timer Timer; // For the delay, then for the timeout.
  edge::tcp::endpoint Address;
  connect_handler Handler;
};

void tcp_endpoint_prober::probe(std::string_view Address, int DelayMs,
                                quarantine::endpoint_prober::handler Handler) {
  probe(Address, DelayMs,
        connect_handler([this, Handler = std::move(Handler)](
                            const edge::error_code &Error) {
          Handler(Error == edge::net::error::connection_refused,
                  Clock.monotonic());
        }));
}

void tcp_endpoint_prober::probe(std::string_view Address,
                                forwarding::path_prober::handler Handler) {
  probe(Address, 0,
        connect_handler([this, Handler = std::move(Handler)](
                            const edge::error_code &Error) {
          Handler(!Error, Clock.monotonic());
        }));
}

void tcp_endpoint_prober::probe(std::string_view Address, int DelayMs,
                                connect_handler Handler) {
  edge::tcp::endpoint Target;
  try {
    Target = edge::parseAddress(Address);
  } catch (const std::invalid_argument &) {
    // Nothing can be found out about an address that can't be read.
    edge::net::post(Context, [Handler = std::move(Handler)] {
      Handler(edge::net::error::invalid_argument);
    });
    return;
  }
  const std::shared_ptr<probe_connection> Probe =
      std::make_shared<probe_connection>(Context, Target, std::move(Handler));
  Probe->Timer.expires_after(std::chrono::milliseconds(DelayMs));
  Probe->Timer.async_wait(
      [this, Probe](const edge::error_code &) { connect(Probe); });
}

void tcp_endpoint_prober::connect(
    const std::shared_ptr<probe_connection> &Probe) {
  Probe->Timer.expires_after(std::chrono::milliseconds(ProbeTimeoutMs));
  Probe->Timer.async_wait([Probe](const edge::error_code &Error) {
    edge::error_code Ignored;
    if (!Error)
      Probe->Socket.close(Ignored);
  });
  Probe->Socket.async_connect(Probe->Address,
                              [Probe](const edge::error_code &Error) {
                                edge::error_code Ignored;
                                Probe->Timer.cancel();
                                Probe->Socket.close(Ignored);
                                Probe->Handler(Error);
                              });
}

std::optional<quarantine::endpoint_info>
listed_endpoints::find(std::string_view Endpoint) const {
  const dispatch::endpoint_entry *Entry = LoadBalancer.findEntry(Endpoint);
  if (Entry == nullptr)
    return std::nullopt;
  return quarantine::endpoint_info{Entry->StartedAt, Entry->Address,
                                   Entry->Leaving};
}

} // namespace tamarack::daemon
