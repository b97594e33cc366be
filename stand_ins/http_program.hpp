// HTTP server and helper functions shared by the stand-ins.
//
// A stand-in is a small server that takes the place of an outside system in
// tests: an endpoint, the platform or its store. Tests change its behaviour by
// requests to its path /control and read its counters from /stats.
#pragma once

#include "tamarack/adapters.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <map>
#include <string>

namespace tamarack::stand_ins {

// Handles requests of one stand-in. Called by several threads at once.
class http_service {
public:
  virtual ~http_service() = default;
  virtual void handle(Poco::Net::HTTPServerRequest &Request,
                      Poco::Net::HTTPServerResponse &Response) = 0;
};

// Returns the complete body of Request.
std::string readBody(Poco::Net::HTTPServerRequest &Request);
// Sends a complete response. Type: its Content-Type.
void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text,
              const std::string &Type = "application/json");

// Returns a query parameter as a number, or Default if it is absent or not a
// number.
std::int64_t queryNumber(const Poco::URI &Uri, const std::string &Name,
                         std::int64_t Default);

std::string textOf(const Poco::JSON::Object &Object);
std::string textOf(const Poco::JSON::Array &Array);

// Returns an object with a member for each entry of Numbers.
template <class key, class number>
Poco::JSON::Object::Ptr objectOf(const std::map<key, number> &Numbers) {
  Poco::JSON::Object::Ptr Object = new Poco::JSON::Object;
  for (const auto &[Name, Number] : Numbers)
    Object->set(Name, Number);
  return Object;
}

// Defined by each program; main calls it. Returns the exit status. Exceptions
// are printed by main and count as wrong usage, status 2.
int run(int ArgumentCount, char **Arguments);

// Adds the flags that serveUntilSignal reads.
void addListenFlags(adapters::program_settings &Flags, const char *DefaultPort);

// Listens as Flags say and passes requests to Service until SIGTERM or SIGINT.
void serveUntilSignal(http_service &Service,
                      const adapters::program_settings &Flags);

} // namespace tamarack::stand_ins
