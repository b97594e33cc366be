// The main function, the HTTP server on POCO Net and helper functions of the
// stand-ins.
#include "http_program.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/StreamCopier.h>

#include <charconv>
#include <csignal>
#include <iostream>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr int MaxThreads = 1024;
constexpr int ThreadStackBytes = 256 * 1024;

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit request_handler(http_service &Service) : Service(Service) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      Service.handle(Request, Response);
    } catch (const Poco::Exception &) {
      // The client has closed the connection.
    }
  }

private:
  http_service &Service;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(http_service &Service) : Service(Service) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new request_handler(Service); // The server deletes it.
  }

private:
  http_service &Service;
};

} // namespace

std::string readBody(Poco::Net::HTTPServerRequest &Request) {
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  return Body;
}

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text, const std::string &Type) {
  Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(Type);
  Response.sendBuffer(Text.data(), Text.size());
}

std::int64_t queryNumber(const Poco::URI &Uri, const std::string &Name,
                         std::int64_t Default) {
  for (const auto &[Key, Value] : Uri.getQueryParameters()) {
    if (Key != Name)
      continue;
    std::int64_t Number = Default;
    std::from_chars(Value.data(), Value.data() + Value.size(), Number);
    return Number;
  }
  return Default;
}

std::string textOf(const Poco::JSON::Object &Object) {
  std::ostringstream Out;
  Object.stringify(Out);
  return Out.str();
}

std::string textOf(const Poco::JSON::Array &Array) {
  std::ostringstream Out;
  Array.stringify(Out);
  return Out.str();
}

void addListenFlags(adapters::program_settings &Flags,
                    const char *DefaultPort) {
  Flags.addText("host", "127.0.0.1", "address to listen on");
  Flags.addNumber("port", DefaultPort, 1, 65535, "port to listen on");
}

void serveUntilSignal(http_service &Service,
                      const adapters::program_settings &Flags) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Poco::ThreadPool Pool(8, MaxThreads, 60, ThreadStackBytes);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxThreads);
  Params->setKeepAlive(true);
  Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress(
          Flags.getText("host"),
          static_cast<Poco::UInt16>(Flags.getNumber("port"))),
      1024);
  Poco::Net::HTTPServer Server(new handler_factory(Service), Pool, Socket,
                               Params);
  Server.start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stopAll(true);
}

} // namespace tamarack::stand_ins

int main(int ArgumentCount, char **Arguments) {
  constexpr int WrongUsageStatus = 2;
  try {
    return tamarack::stand_ins::run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return WrongUsageStatus;
  }
}
