// Polls the endpoints of the own zone for their load.
#include "load_poller.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace tamarack::daemon {

namespace {

constexpr int PollIntervalMs = 1000; // Pause of a thread between two rounds.
constexpr int ConnectTimeoutMs = 500;
constexpr int ReadTimeoutMs = 1000;
constexpr int StatusOk = 200;

} // namespace

load_poller::load_poller(std::string Zone, config_service &Config,
                         request_scheduler &Scheduler, member_service &Members,
                         endpoint_client &EndpointClient, int ThreadCount)
    : Zone(std::move(Zone)), Config(Config), Scheduler(Scheduler),
      Members(Members), EndpointClient(EndpointClient),
      ThreadCount(ThreadCount) {}

load_poller::~load_poller() { stop(); }

void load_poller::start() {
  for (int Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([this, Index] { pollLoop(Index); });
}

void load_poller::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    StopCondition.notify_all();
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

// Each thread polls every ThreadCount-th endpoint, so that an unresponsive
// endpoint delays the polls of few others.
void load_poller::pollLoop(int ThreadIndex) {
  for (;;) {
    const std::shared_ptr<const config::configuration> Configuration =
        Config.activeConfiguration();
    const std::vector<fleet::member_row> LiveMembers = Members.liveMembers();
    Scheduler.applyConfiguration(*Configuration,
                                 static_cast<int>(LiveMembers.size()));
    int PolledCount = 0;
    for (const auto &[Name, Endpoint] : Configuration->Endpoints) {
      const bool IsPolledHere =
          Endpoint.Zone == Zone &&
          (LiveMembers.empty() ||
           fleet::pollerOf(Name, LiveMembers).Incarnation ==
               Members.selfIncarnation());
      if (IsPolledHere && PolledCount++ % ThreadCount == ThreadIndex)
        pollEndpoint(Endpoint);
    }
    std::unique_lock Guard(Lock);
    const bool IsStopped =
        StopCondition.wait_for(Guard, std::chrono::milliseconds(PollIntervalMs),
                               [this] { return Stopping; });
    if (IsStopped)
      return;
  }
}

// If an endpoint does not respond, its last report stays in use; the outcomes
// of requests show whether the endpoint works.
void load_poller::pollEndpoint(const config::endpoint &Endpoint) {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = "/load";
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = ReadTimeoutMs;
  try {
    const adapters::http_response Response =
        adapters::fetch(EndpointClient, Endpoint.Url, Request);
    if (Response.Status != StatusOk)
      return;
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Root =
        Parser.parse(Response.Body).extract<Poco::JSON::Object::Ptr>();
    routing::load_report Report;
    Report.Running = Root->optValue<int>("running", 0);
    Report.Waiting = Root->optValue<int>("waiting", 0);
    Report.AgeMs = Root->optValue<int>("age_ms", 0);
    Report.Leaving = Root->optValue<bool>("leaving", false);
    Scheduler.onLoadReport(Endpoint.Name, Report);
  } catch (const endpoint_unreached &) {
  } catch (const endpoint_disconnected &) {
  } catch (const Poco::Exception &) { // The response is not a load report.
  }
}

} // namespace tamarack::daemon
