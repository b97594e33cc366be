// Stand-in for the platform: append-only log and instance list.
//
//   POST /log/<stream>                     appends the body, returns its offset
//   GET  /log/<stream>?from=N&wait_ms=M    log page as MessagePack
//   GET, PUT /instances                    all rows, or one row, as JSON
//   POST /control?outage=0|1&slow_ms=N&lose_percent=N&retain=N&list_lag_ms=N
//                                          see struct faults
//   GET  /stats                            counters as JSON
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

constexpr std::size_t MaxPageRecords = 512;
// A page ends with the record that makes it larger than this.
constexpr std::size_t PageBytes = 1024 * 1024;
constexpr time_ms MaxLongPollMs = 30'000;
// An instance that has not announced itself for this time is left out of the
// list.
constexpr time_ms InstanceExpiryMs = 30'000;

struct stream_state {
  std::uint64_t FirstOffset = 0; // Offset of Records[0].
  std::deque<log_record> Records;
  std::uint64_t nextOffset() const { return FirstOffset + Records.size(); }
};

// Faults that tests switch on by /control.
struct faults {
  bool Outage = false;          // Requests get 503; waiting reads return.
  std::int64_t SlowMs = 0;      // Delay of every response.
  std::int64_t LosePercent = 0; // Appends that are stored, but get 504.
  std::int64_t Retain = 0;      // Newest records retained per stream, 0: all.
  std::int64_t ListLagMs = 0;   // Maximum age of the instance list.
};

struct listed_instance {
  Poco::JSON::Object::Ptr Row;
  time_ms AnnouncedAt = 0;
};

class platform final : public http_service {
public:
  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/control")
      return handleControl(Uri, Response);
    if (Path == "/stats")
      return sendText(Response, 200, statsJson());
    const faults ActiveFaults = currentFaults();
    if (ActiveFaults.SlowMs > 0)
      std::this_thread::sleep_for(
          std::chrono::milliseconds(ActiveFaults.SlowMs));
    if (ActiveFaults.Outage)
      return sendText(Response, 503, "{\"error\":\"outage\"}");
    if (Path.starts_with("/log/"))
      return handleLog(Path.substr(5), Uri, Request, Response, ActiveFaults);
    if (Path == "/instances")
      return handleInstances(Request, Response, ActiveFaults);
    sendText(Response, 404, "{}");
  }

private:
  void handleControl(const Poco::URI &Uri,
                     Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    Faults.Outage = queryNumber(Uri, "outage", Faults.Outage ? 1 : 0) != 0;
    Faults.SlowMs = queryNumber(Uri, "slow_ms", Faults.SlowMs);
    Faults.LosePercent = queryNumber(Uri, "lose_percent", Faults.LosePercent);
    Faults.Retain = queryNumber(Uri, "retain", Faults.Retain);
    Faults.ListLagMs = queryNumber(Uri, "list_lag_ms", Faults.ListLagMs);
    for (auto &[Name, Stream] : Streams)
      trimStream(Stream);
    Changed.notify_all();
    sendText(Response, 200, "{}");
  }

  faults currentFaults() {
    const std::lock_guard Guard(Lock);
    return Faults;
  }

  std::string statsJson() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("appends", AppendCount);
    Top.set("append_bytes", AppendedBytes);
    Top.set("reads", ReadCount);
    Top.set("read_bytes", ReadBytes);
    Poco::JSON::Object::Ptr NextOffsets = new Poco::JSON::Object;
    for (const auto &[Name, Stream] : Streams)
      NextOffsets->set(Name, static_cast<Poco::UInt64>(Stream.nextOffset()));
    Top.set("streams", NextOffsets);
    return textOf(Top);
  }

  // Removes the oldest records beyond Faults.Retain.
  void trimStream(stream_state &Stream) const {
    if (Faults.Retain <= 0)
      return;
    while (Stream.Records.size() > static_cast<std::size_t>(Faults.Retain)) {
      Stream.Records.pop_front();
      ++Stream.FirstOffset;
    }
  }

  void handleLog(const std::string &Name, const Poco::URI &Uri,
                 Poco::Net::HTTPServerRequest &Request,
                 Poco::Net::HTTPServerResponse &Response,
                 const faults &ActiveFaults) {
    if (Request.getMethod() == "POST")
      return append(Name, readBody(Request), Response, ActiveFaults);
    const std::uint64_t From =
        static_cast<std::uint64_t>(queryNumber(Uri, "from", 0));
    const time_ms WaitMs =
        std::min<time_ms>(MaxLongPollMs, queryNumber(Uri, "wait_ms", 0));
    const log_page Page = read(Name, From, WaitMs);
    const byte_string Bytes = adapters::encodePage(Page);
    Response.setContentType("application/msgpack");
    Response.sendBuffer(Bytes.data(), Bytes.size());
  }

  void append(const std::string &Name, const std::string &Body,
              Poco::Net::HTTPServerResponse &Response,
              const faults &ActiveFaults) {
    std::uint64_t Offset = 0;
    bool LoseResponse = false;
    {
      const std::lock_guard Guard(Lock);
      stream_state &Stream = Streams[Name];
      Offset = Stream.nextOffset();
      Stream.Records.push_back(
          {Offset, Clock.now(), byte_string(Body.begin(), Body.end())});
      trimStream(Stream);
      ++AppendCount;
      AppendedBytes += Body.size();
      LoseResponse = static_cast<std::int64_t>(Random.next() % 100) <
                     ActiveFaults.LosePercent;
      Changed.notify_all();
    }
    if (LoseResponse)
      return sendText(Response, 504, "{\"error\":\"response lost\"}");
    sendText(Response, 200, std::to_string(Offset), "text/plain");
  }

  // Waits up to WaitMs for a record at offset From.
  log_page read(const std::string &Name, std::uint64_t From, time_ms WaitMs) {
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs), [&] {
      return Streams[Name].nextOffset() > From || Faults.Outage;
    });
    const stream_state &Stream = Streams[Name];
    log_page Page;
    Page.OldestOffset = Stream.FirstOffset;
    Page.NextOffset = Stream.nextOffset();
    Page.Trimmed = From < Stream.FirstOffset;
    std::size_t Bytes = 0;
    for (std::uint64_t Offset = std::max(From, Stream.FirstOffset);
         Offset < Stream.nextOffset() && !Page.Trimmed; ++Offset) {
      const log_record &Record = Stream.Records[Offset - Stream.FirstOffset];
      Bytes += Record.Body.size();
      Page.Records.push_back(Record);
      if (Page.Records.size() == MaxPageRecords || Bytes > PageBytes)
        break;
    }
    ++ReadCount;
    ReadBytes += Bytes;
    return Page;
  }

  void handleInstances(Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response,
                       const faults &ActiveFaults) {
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
    if (Now - CachedListTime >= ActiveFaults.ListLagMs) {
      CachedListTime = Now;
      CachedList = makeListJson(Now);
    }
    sendText(Response, 200, CachedList);
  }

  // Returns the rows that have not expired.
  std::string makeListJson(time_ms Now) {
    Poco::JSON::Array Rows;
    for (const auto &[Name, Instance] : Instances)
      if (Now - Instance.AnnouncedAt < InstanceExpiryMs)
        Rows.add(Instance.Row);
    return textOf(Rows);
  }

  adapters::system_clock Clock;
  adapters::system_random Random;
  std::mutex Lock; // Guards all members below.
  std::condition_variable Changed;
  std::map<std::string, stream_state> Streams;      // By name.
  std::map<std::string, listed_instance> Instances; // By name.
  faults Faults;
  std::string CachedList = "[]"; // Sent until it is ListLagMs old.
  time_ms CachedListTime = 0;
  std::uint64_t AppendCount = 0;
  std::uint64_t AppendedBytes = 0;
  std::uint64_t ReadCount = 0;
  std::uint64_t ReadBytes = 0;
};

} // namespace

int run(int ArgumentCount, char **Arguments) {
  adapters::program_settings Settings(
      "standin-platform", "log service and instance list in memory");
  addListenFlags(Settings, "7000");
  if (!Settings.read(ArgumentCount, Arguments))
    return 0;
  platform Platform;
  serveUntilSignal(Platform, Settings);
  return 0;
}

} // namespace tamarack::stand_ins
