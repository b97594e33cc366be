// HTTP server for callers, health checks, metrics and admin pages.
#pragma once

#include "call_context.hpp"
#include "daemon_settings.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

namespace tamarack::daemon {

// Contents of the pages for operators and monitoring. Thread-safe.
class admin_pages {
public:
  virtual ~admin_pages() = default;
  virtual std::string statusJson() = 0;  // /admin/status
  virtual std::string burnJson() = 0;    // /admin/burn
  virtual std::string metricsText() = 0; // /metrics, Prometheus text format.
  virtual bool isReady() = 0;            // /readyz
};

// Serves each HTTP connection on a thread of its own.
class http_frontend {
public:
  // Starts to listen. Throws Poco::Exception if the address is in use.
  http_frontend(const daemon_settings &Settings, call_services &Services,
                admin_pages &Pages);
  ~http_frontend();

  // Requests of callers that are being served, without requests for pages.
  int inFlightCount() const { return InFlightCount.load(); }
  // Closes the listening socket and all connections, and waits for the threads.
  void stop();

  // Serves one request. Called by the threads of all connections at once.
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response);

private:
  void routeRequest(Poco::Net::HTTPServerRequest &Request,
                    Poco::Net::HTTPServerResponse &Response);
  bool tryServePage(const std::string &Path,
                    Poco::Net::HTTPServerRequest &Request,
                    Poco::Net::HTTPServerResponse &Response);
  void serveMintedTickets(call_context &Context);
  void requireAdminKey(const Poco::Net::HTTPServerRequest &Request) const;

  call_services &Services;
  admin_pages &Pages;
  std::string AdminKeyDigest;
  adapters::component_logger Logger;
  std::atomic<int> InFlightCount = 0;
  Poco::ThreadPool ThreadPool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace tamarack::daemon
