// Stand-in for the platform: append-only log and instance list.
//
//   POST /log/<stream>                     body -> offset
//   GET  /log/<stream>?from=N&wait_ms=M    MessagePack page
//   GET, PUT /instances                    JSON rows
//   POST /control?outage=0|1&slow_ms=N&lose_percent=N&retain=N&list_lag_ms=N
//   GET  /stats                            counts as JSON
#include "http_program.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr std::size_t PageRecords = 512;       // Per answer.
constexpr std::size_t PageBytes = 1024 * 1024; // Per answer, about.
constexpr time_ms LargestWaitMs = 30'000;      // Of a long poll.
constexpr time_ms ForgetInstanceMs = 30'000;   // Without an announcement.

struct stream_state {
  std::uint64_t First = 0;
  std::deque<log_record> Records;
  std::uint64_t next() const { return First + Records.size(); }
};

struct faults {
  bool Outage = false;
  std::int64_t SlowMs = 0;      // Added to every answer.
  std::int64_t LosePercent = 0; // Appends stored but not answered.
  std::int64_t Retain = 0;      // Records kept per stream, 0 for all.
  std::int64_t ListLagMs = 0;   // Age of the instance list shown.
};

struct listed {
  Poco::JSON::Object::Ptr Row;
  time_ms Announced = 0;
};

class platform final : public http_service {
public:
  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/control")
      return control(Uri, Response);
    if (Path == "/stats")
      return sendText(Response, 200, stats());
    const faults Faults = currentFaults();
    if (Faults.SlowMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Faults.SlowMs));
    if (Faults.Outage)
      return sendText(Response, 503, "{\"error\":\"outage\"}");
    if (Path.starts_with("/log/"))
      return handleLog(Path.substr(5), Uri, Request, Response, Faults);
    if (Path == "/instances")
      return handleInstances(Request, Response, Faults);
    sendText(Response, 404, "{}");
  }

private:
  void control(const Poco::URI &Uri, Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    Faults.Outage = queryNumber(Uri, "outage", Faults.Outage ? 1 : 0) != 0;
    Faults.SlowMs = queryNumber(Uri, "slow_ms", Faults.SlowMs);
    Faults.LosePercent = queryNumber(Uri, "lose_percent", Faults.LosePercent);
    Faults.Retain = queryNumber(Uri, "retain", Faults.Retain);
    Faults.ListLagMs = queryNumber(Uri, "list_lag_ms", Faults.ListLagMs);
    for (auto &[Name, Stream] : Streams)
      trim(Stream);
    Changed.notify_all();
    sendText(Response, 200, "{}");
  }

  faults currentFaults() {
    const std::lock_guard Guard(Lock);
    return Faults;
  }

  std::string stats() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("appends", Appends);
    Top.set("append_bytes", AppendBytes);
    Top.set("reads", Reads);
    Top.set("read_bytes", ReadBytes);
    Poco::JSON::Object::Ptr Each = new Poco::JSON::Object;
    for (const auto &[Name, Stream] : Streams)
      Each->set(Name, static_cast<Poco::UInt64>(Stream.next()));
    Top.set("streams", Each);
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  void trim(stream_state &Stream) const {
    if (Faults.Retain <= 0)
      return;
    while (Stream.Records.size() > static_cast<std::size_t>(Faults.Retain)) {
      Stream.Records.pop_front();
      ++Stream.First;
    }
  }

  void handleLog(const std::string &Name, const Poco::URI &Uri,
                 Poco::Net::HTTPServerRequest &Request,
                 Poco::Net::HTTPServerResponse &Response, const faults &Asked) {
    if (Request.getMethod() == "POST")
      return append(Name, readBody(Request), Response, Asked);
    const std::uint64_t From =
        static_cast<std::uint64_t>(queryNumber(Uri, "from", 0));
    const time_ms WaitMs =
        std::min<time_ms>(LargestWaitMs, queryNumber(Uri, "wait_ms", 0));
    const log_page Page = read(Name, From, WaitMs);
    const byte_string Bytes = adapters::encodePage(Page);
    Response.setContentType("application/msgpack");
    Response.sendBuffer(Bytes.data(), Bytes.size());
  }

  void append(const std::string &Name, const std::string &Body,
              Poco::Net::HTTPServerResponse &Response, const faults &Asked) {
    std::uint64_t Offset = 0;
    bool Lose = false;
    {
      const std::lock_guard Guard(Lock);
      stream_state &Stream = Streams[Name];
      Offset = Stream.next();
      Stream.Records.push_back(
          {Offset, Clock.now(), byte_string(Body.begin(), Body.end())});
      trim(Stream);
      ++Appends;
      AppendBytes += Body.size();
      Lose = static_cast<std::int64_t>(Random.next() % 100) < Asked.LosePercent;
      Changed.notify_all();
    }
    if (Lose)
      return sendText(Response, 504, "{\"error\":\"answer lost\"}");
    sendText(Response, 200, std::to_string(Offset), "text/plain");
  }

  log_page read(const std::string &Name, std::uint64_t From, time_ms WaitMs) {
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs), [&] {
      return Streams[Name].next() > From || Faults.Outage;
    });
    const stream_state &Stream = Streams[Name];
    log_page Page;
    Page.OldestOffset = Stream.First;
    Page.NextOffset = Stream.next();
    Page.Trimmed = From < Stream.First;
    std::size_t Bytes = 0;
    for (std::uint64_t At = std::max(From, Stream.First);
         At < Stream.next() && !Page.Trimmed; ++At) {
      const log_record &Record = Stream.Records[At - Stream.First];
      Bytes += Record.Body.size();
      Page.Records.push_back(Record);
      if (Page.Records.size() == PageRecords || Bytes > PageBytes)
        break;
    }
    ++Reads;
    ReadBytes += Bytes;
    return Page;
  }

  void handleInstances(Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response,
                       const faults &Asked) {
    if (Request.getMethod() == "PUT") {
      Poco::JSON::Parser Parser;
      const Poco::JSON::Object::Ptr Row =
          Parser.parse(readBody(Request)).extract<Poco::JSON::Object::Ptr>();
      const std::lock_guard Guard(Lock);
      Instances[Row->getValue<std::string>("name")] = {Row, Clock.now()};
      return sendText(Response, 200, "{}");
    }
    const std::lock_guard Guard(Lock);
    const time_ms Now = Clock.now();
    if (Now - ListMade >= Asked.ListLagMs) {
      ListMade = Now;
      List = makeList(Now);
    }
    sendText(Response, 200, List);
  }

  std::string makeList(time_ms Now) {
    Poco::JSON::Array Rows;
    for (const auto &[Name, Item] : Instances)
      if (Now - Item.Announced < ForgetInstanceMs)
        Rows.add(Item.Row);
    std::ostringstream Out;
    Rows.stringify(Out);
    return Out.str();
  }

  adapters::system_clock Clock;
  adapters::system_random Random;
  std::mutex Lock; // Guards all below.
  std::condition_variable Changed;
  std::map<std::string, stream_state> Streams;
  std::map<std::string, listed> Instances;
  faults Faults;
  std::string List = "[]";
  time_ms ListMade = 0;
  std::uint64_t Appends = 0;
  std::uint64_t AppendBytes = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReadBytes = 0;
};

int run(int Count, char **Arguments) {
  adapters::program_settings Settings(
      "standin-platform", "log service and instance list in memory");
  Settings.addText("host", "127.0.0.1", "address to listen on");
  Settings.addNumber("port", "7000", 1, 65535, "port to listen on");
  if (!Settings.read(Count, Arguments))
    return 0;
  platform Platform;
  serveUntilSignal(Platform, Settings.getText("host"),
                   static_cast<int>(Settings.getNumber("port")));
  return 0;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
