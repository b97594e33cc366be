// Asks endpoints of the own zone for their load.
#include "load_poller.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace tamarack::daemon {

namespace {

constexpr int PollMs = 1000; // Between two rounds over the endpoints.
constexpr int ConnectMs = 500;
constexpr int ReadMs = 1000;
constexpr int StatusOk = 200;

} // namespace

load_poller::load_poller(std::string Zone, config_service &Config,
                         request_scheduler &Dispatcher, member_service &Members,
                         endpoint_client &Endpoints, int Threads)
    : Zone(std::move(Zone)), Config(Config), Dispatcher(Dispatcher),
      Members(Members), Endpoints(Endpoints), Threads(Threads) {}

load_poller::~load_poller() { stop(); }

void load_poller::start() {
  for (int Index = 0; Index < Threads; ++Index)
    Running.emplace_back([this, Index] { pollLoop(Index); });
}

void load_poller::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    Wake.notify_all();
  }
  for (std::thread &Thread : Running)
    Thread.join();
  Running.clear();
}

// Each thread takes every Threads-th endpoint, so that a silent one delays
// few others.
void load_poller::pollLoop(int Index) {
  for (;;) {
    const std::shared_ptr<const config::configuration> Current =
        Config.activeConfiguration();
    const std::vector<fleet::member_row> Live = Members.liveMembers();
    Dispatcher.applyConfiguration(*Current, static_cast<int>(Live.size()));
    int At = 0;
    for (const auto &[Name, Endpoint] : Current->Endpoints) {
      const bool Mine =
          Endpoint.Zone == Zone &&
          (Live.empty() || fleet::pollerOf(Name, Live).Incarnation ==
                               Members.selfIncarnation());
      if (Mine && At++ % Threads == Index)
        poll(Endpoint);
    }
    std::unique_lock Guard(Lock);
    const bool Stop = Wake.wait_for(Guard, std::chrono::milliseconds(PollMs),
                                    [this] { return Stopping; });
    if (Stop)
      return;
  }
}

// A silent endpoint keeps its last report; requests to it show its health.
void load_poller::poll(const config::endpoint &Endpoint) {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = "/load";
  Request.ConnectTimeoutMs = ConnectMs;
  Request.ReadTimeoutMs = ReadMs;
  try {
    const adapters::http_response Answer =
        adapters::fetch(Endpoints, Endpoint.Url, Request);
    if (Answer.Status != StatusOk)
      return;
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(Answer.Body).extract<Poco::JSON::Object::Ptr>();
    routing::load_report Report;
    Report.Running = Top->optValue<int>("running", 0);
    Report.Waiting = Top->optValue<int>("waiting", 0);
    Report.AgeMs = Top->optValue<int>("age_ms", 0);
    Report.Leaving = Top->optValue<bool>("leaving", false);
    Dispatcher.onLoadReport(Endpoint.Name, Report);
  } catch (const endpoint_unreached &) {
  } catch (const endpoint_disconnected &) {
  } catch (const Poco::Exception &) { // Not a load report: ignored.
  }
}

} // namespace tamarack::daemon
