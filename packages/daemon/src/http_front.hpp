// The HTTP side: callers, health, metrics and operators' pages.
#pragma once

#include "call_context.hpp"
#include "daemon_settings.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

namespace tamarack::daemon {

// Pages of the operators. Thread-safe.
class admin_pages {
public:
  virtual ~admin_pages() = default;
  virtual std::string statusJson() = 0;
  virtual std::string burnJson() = 0;
  virtual std::string metricsText() = 0;
  virtual bool isReady() = 0;
};

class http_front {
public:
  // Listens at once; throws Poco::Exception if the address is taken.
  http_front(const daemon_settings &Settings, call_services &Services,
             admin_pages &Pages);
  ~http_front();

  int inFlight() const { return InFlight.load(); }
  // Closes the listening socket and every connection.
  void stop();

  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response);

private:
  void route(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  bool servePage(const std::string &Path, Poco::Net::HTTPServerRequest &Request,
                 Poco::Net::HTTPServerResponse &Response);
  void serveTickets(call_context &Context);
  void checkAdmin(const Poco::Net::HTTPServerRequest &Request) const;

  call_services &Services;
  admin_pages &Pages;
  std::string AdminKeyDigest;
  adapters::component_logger Part;
  std::atomic<int> InFlight = 0; // Requests of callers being served.
  Poco::ThreadPool Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace tamarack::daemon
