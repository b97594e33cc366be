// Stand-in for the platform's store of keyed topics, with one partition for
// each topic.
//
//   POST /-/log-append   topic; at, or producer, epoch and sequence
//   GET  /-/log-read     topic, from, waitMs; 410 if the records are trimmed,
//                        or if the topic ends before from
//   GET  /-/log-newest   topic, after; the newest record of each key, in pages
//                        by key, the first one without "after"
//   POST /control        mode=ok|down|silent|lost; trim=1 removes the records
//                        of all topics, but not the newest ones of their keys;
//                        kb_per_s=N sends responses at this rate on each
//                        connection, 0 at full speed; copy=1 keeps a copy of
//                        all topics; restore=1 goes back to the copy, with
//                        operators_late=1 operators write nothing again yet;
//                        servers_down=1 refuses all calls for keyed.servers as
//                        mode down does, 0 serves them again
//   GET  /stats          number of calls, next offset of each topic
//
// An append with "at" gets 412 unless "at" is the next offset. An append with
// "producer" gets 409 if the producer has used a higher epoch, or if "sequence"
// is not the next number of the same epoch. The body may hold several records.
//
// A restore raises the era, which every response to a call has in Store-Era and
// which begins with 0. All records since the copy are gone, and the epochs of
// producers as they were. What operators and endpoints wrote since (keyed.op
// and keyed.servers) is appended again, the newest record of each key.
//
// Modes: down responds with 503 and does nothing; silent does nothing and never
// responds; lost performs the call and never responds. Calls with the header
// X-Operator are always served, as in mode ok.
#include "http_program.hpp"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Object.h>

#include <condition_variable>
#include <optional>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr int HoldMs = 3'000; // Time that a call without a response takes.
constexpr std::size_t SizeBytes = 4;          // Of the size before each record.
constexpr std::size_t ChunkBytes = 16 * 1024; // Of a response with a rate.
// Of a page of a snapshot, whose first record counts in any case.
constexpr std::size_t MaxPageRecords = 500;
constexpr std::size_t MaxPageBytes = 1 << 20;

enum class mode { Ok, Down, Silent, Lost };

struct record {
  std::string Key;
  std::string Value;
};

struct topic {
  std::uint64_t FirstOffset = 0; // Offset of Records[0].
  std::vector<record> Records;
  // Newest record of each key: offset and value. Not affected by trimming.
  std::map<std::string, std::pair<std::uint64_t, std::string>> Snapshot;
  // Highest epoch and next sequence number of each producer.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Producers;

  std::uint64_t nextOffset() const { return FirstOffset + Records.size(); }
};

std::string encodeBigEndian(std::uint64_t Value, std::size_t ByteCount) {
  std::string Text;
  for (std::size_t Index = ByteCount; Index > 0; --Index)
    Text.push_back(static_cast<char>(Value >> 8 * (Index - 1) & 0xFF));
  return Text;
}

std::uint64_t decodeBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (char Byte : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  return Value;
}

std::string encodeBase64(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

std::optional<std::string> findParameter(const Poco::URI &Uri,
                                         const std::string &Name) {
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == Name)
      return Value;
  return std::nullopt;
}

// Returns a query parameter, or "" if it is absent.
std::string queryParameter(const Poco::URI &Uri, const std::string &Name) {
  return findParameter(Uri, Name).value_or("");
}

std::string offsetsJson(std::uint64_t Offset, std::uint64_t End) {
  return "{\"offset\":" + std::to_string(Offset) +
         ",\"end\":" + std::to_string(End) + "}";
}

class keyed_store_service final : public http_service {
public:
  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    const std::string Body = readBody(Request);
    if (Uri.getPath() == "/control")
      return handleControl(Uri, Response);
    if (Uri.getPath() == "/stats")
      return sendText(Response, 200, statsJson());
    mode Mode = mode::Ok;
    std::int64_t Rate = 0;
    {
      const std::lock_guard Guard(Lock);
      ++Calls;
      Rate = KbPerSecond;
      // Operators are served in every mode, which affects instances only.
      if (!Request.has("X-Operator"))
        Mode = AreServersDown && queryParameter(Uri, "topic") == "keyed.servers"
                   ? mode::Down
                   : ActiveMode;
    }
    if (Mode == mode::Down)
      return sendText(Response, 503, "{}");
    if (Mode == mode::Silent)
      return holdCall(Request);
    store_response StoreResponse = handleCall(Uri, Body);
    Response.set("Store-Era", std::to_string(StoreResponse.Era));
    if (Mode == mode::Lost)
      return holdCall(Request);
    if (Rate > 0 && StoreResponse.Text.size() > ChunkBytes)
      return sendAtRate(Response, StoreResponse, Rate);
    sendText(Response, StoreResponse.Status, StoreResponse.Text,
             StoreResponse.Type);
  }

private:
  struct store_response {
    int Status = 200;
    std::string Text = "{}";
    std::string Type = "application/json";
    std::uint64_t Era = 0; // In which the call was performed.
  };

  static void sendAtRate(Poco::Net::HTTPServerResponse &Response,
                         const store_response &StoreResponse,
                         std::int64_t KbPerSecond) {
    Response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(StoreResponse.Status));
    Response.setContentType(StoreResponse.Type);
    Response.setContentLength(
        static_cast<std::streamsize>(StoreResponse.Text.size()));
    std::ostream &Out = Response.send();
    const std::chrono::microseconds Pause(ChunkBytes * 1'000 / KbPerSecond);
    for (std::size_t At = 0; At < StoreResponse.Text.size(); At += ChunkBytes) {
      std::this_thread::sleep_for(Pause);
      Out << std::string_view(StoreResponse.Text).substr(At, ChunkBytes)
          << std::flush;
    }
  }

  // Returns without a response, so that the caller runs into its own timeout.
  void holdCall(Poco::Net::HTTPServerRequest &) {
    std::this_thread::sleep_for(std::chrono::milliseconds(HoldMs));
  }

  void handleControl(const Poco::URI &Uri,
                     Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    const std::string NewMode = queryParameter(Uri, "mode");
    if (NewMode == "ok")
      ActiveMode = mode::Ok;
    if (NewMode == "down")
      ActiveMode = mode::Down;
    if (NewMode == "silent")
      ActiveMode = mode::Silent;
    if (NewMode == "lost")
      ActiveMode = mode::Lost;
    AreServersDown = queryNumber(Uri, "servers_down", AreServersDown) == 1;
    KbPerSecond = queryNumber(Uri, "kb_per_s", KbPerSecond);
    if (queryNumber(Uri, "trim", 0) == 1)
      for (auto &[Name, Topic] : Topics) {
        Topic.FirstOffset = Topic.nextOffset();
        Topic.Records.clear();
      }
    if (queryNumber(Uri, "copy", 0) == 1)
      Copy = Topics;
    if (queryNumber(Uri, "restore", 0) == 1)
      restoreCopy(queryNumber(Uri, "operators_late", 0) == 1);
    sendText(Response, 200, "{}");
  }

  void restoreCopy(bool AreOperatorsLate) {
    const std::map<std::string, topic> Lost = std::exchange(Topics, Copy);
    ++Era;
    for (const char *Name : {"keyed.op", "keyed.servers"}) {
      const auto Known = Lost.find(Name);
      const bool IsLate = AreOperatorsLate && Name == std::string("keyed.op");
      if (Known == Lost.end() || IsLate)
        continue;
      for (const auto &[Key, Newest] : Known->second.Snapshot)
        if (Topics[Name].Snapshot[Key].second != Newest.second)
          storeRecord(Topics[Name], Key, Newest.second);
    }
    Appended.notify_all();
  }

  std::string statsJson() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("calls", static_cast<Poco::UInt64>(Calls));
    for (const auto &[Name, Topic] : Topics)
      Top.set(Name, static_cast<Poco::UInt64>(Topic.nextOffset()));
    return textOf(Top);
  }

  store_response handleCall(const Poco::URI &Uri, const std::string &Body) {
    store_response Response = performCall(Uri, Body);
    const std::lock_guard Guard(Lock);
    Response.Era = Era;
    return Response;
  }

  store_response performCall(const Poco::URI &Uri, const std::string &Body) {
    const std::string Name = queryParameter(Uri, "topic");
    if (Uri.getPath() == "/-/log-append")
      return append(Name, Uri, Body);
    if (Uri.getPath() == "/-/log-read")
      return read(Name, Uri);
    if (Uri.getPath() == "/-/log-newest")
      return readSnapshotPage(Name, findParameter(Uri, "after"));
    return {404, "{}", "application/json"};
  }

  // Body: records, each after its size of SizeBytes in big-endian order.
  store_response append(const std::string &Name, const Poco::URI &Uri,
                        std::string_view Body) {
    const std::lock_guard Guard(Lock);
    topic &Topic = Topics[Name];
    const std::string ExpectedOffset = queryParameter(Uri, "at");
    if (!ExpectedOffset.empty() &&
        std::stoull(ExpectedOffset) != Topic.nextOffset())
      return {412, "{\"end\":" + std::to_string(Topic.nextOffset()) + "}",
              "application/json"};
    const std::string Producer = queryParameter(Uri, "producer");
    if (!Producer.empty()) {
      const std::uint64_t Epoch = std::stoull(queryParameter(Uri, "epoch"));
      const std::uint64_t Sequence =
          std::stoull(queryParameter(Uri, "sequence"));
      const auto KnownProducer = Topic.Producers.find(Producer);
      const bool HasHigherEpoch = KnownProducer == Topic.Producers.end() ||
                                  Epoch > KnownProducer->second.first;
      if (!HasHigherEpoch &&
          (Epoch < KnownProducer->second.first ||
           (!Body.empty() && Sequence != KnownProducer->second.second)))
        return {409, "{\"reason\":\"fenced\"}", "application/json"};
      // An empty body only raises the epoch and uses no sequence number.
      Topic.Producers[Producer] = {Epoch,
                                   Body.empty() ? Sequence : Sequence + 1};
    }
    const std::uint64_t Offset = Topic.nextOffset();
    while (Body.size() >= SizeBytes) {
      const std::size_t Size = decodeBigEndian(Body.substr(0, SizeBytes));
      storeRecord(Topic, Body.substr(SizeBytes, Size));
      Body.remove_prefix(std::min(Body.size(), SizeBytes + Size));
    }
    Appended.notify_all();
    return {200, offsetsJson(Offset, Topic.nextOffset()), "application/json"};
  }

  // Content: one byte with the size of the key, the key, the value. An empty
  // value removes the key.
  static void storeRecord(topic &Topic, std::string_view Content) {
    const std::size_t KeySize =
        Content.empty() ? 0 : static_cast<unsigned char>(Content[0]);
    storeRecord(Topic, std::string(Content.substr(1, KeySize)),
                std::string(Content.substr(1 + KeySize)));
  }

  static void storeRecord(topic &Topic, std::string Key, std::string Value) {
    record Record{std::move(Key), std::move(Value)};
    if (Record.Value.empty())
      Topic.Snapshot.erase(Record.Key);
    else
      Topic.Snapshot[Record.Key] = {Topic.nextOffset(), Record.Value};
    Topic.Records.push_back(std::move(Record));
  }

  // Waits up to waitMs for a record at offset "from". The response has the next
  // offset and the first offset, 8 bytes each, then the records.
  store_response read(const std::string &Name, const Poco::URI &Uri) {
    const std::uint64_t From =
        static_cast<std::uint64_t>(queryNumber(Uri, "from", 0));
    const std::int64_t WaitMs = queryNumber(Uri, "waitMs", 0);
    std::unique_lock Guard(Lock);
    const std::uint64_t StartEra = Era;
    Appended.wait_for(Guard, std::chrono::milliseconds(WaitMs),
                      [this, &Name, From, StartEra] {
                        return Topics[Name].nextOffset() > From ||
                               Era != StartEra;
                      });
    topic &Topic = Topics[Name];
    if (From < Topic.FirstOffset || From > Topic.nextOffset())
      return {410, "{\"first\":" + std::to_string(Topic.FirstOffset) + "}",
              "application/json"};
    std::string Out = encodeBigEndian(Topic.nextOffset(), 8) +
                      encodeBigEndian(Topic.FirstOffset, 8);
    for (std::uint64_t Offset = From; Offset < Topic.nextOffset(); ++Offset) {
      const record &Record = Topic.Records[Offset - Topic.FirstOffset];
      const std::size_t Size = 1 + Record.Key.size() + Record.Value.size();
      Out += encodeBigEndian(Size, SizeBytes) +
             encodeBigEndian(Record.Key.size(), 1) + Record.Key + Record.Value;
    }
    return {200, Out, "application/octet-stream"};
  }

  store_response readSnapshotPage(const std::string &Name,
                                  const std::optional<std::string> &After) {
    const std::lock_guard Guard(Lock);
    const topic &Topic = Topics[Name];
    auto Next =
        After ? Topic.Snapshot.upper_bound(*After) : Topic.Snapshot.begin();
    Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
    std::size_t Bytes = 0;
    for (; Next != Topic.Snapshot.end(); ++Next) {
      const auto &[Key, Record] = *Next;
      Bytes += Record.second.size();
      if (Items->size() == MaxPageRecords ||
          (Items->size() > 0 && Bytes > MaxPageBytes))
        break;
      Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
      Item->set("key", Key);
      Item->set("value", encodeBase64(Record.second));
      Item->set("offset", static_cast<Poco::UInt64>(Record.first));
      Items->add(Item);
    }
    Poco::JSON::Object Top;
    Top.set("items", Items);
    Top.set("more", Next != Topic.Snapshot.end());
    Top.set("end", static_cast<Poco::UInt64>(Topic.nextOffset()));
    return {200, textOf(Top), "application/json"};
  }

  std::mutex Lock; // Guards all members below.
  std::condition_variable Appended;
  std::map<std::string, topic> Topics; // By name.
  std::map<std::string, topic> Copy;   // Of Topics, for a restore.
  std::uint64_t Era = 0;
  mode ActiveMode = mode::Ok;
  bool AreServersDown = false;
  std::int64_t KbPerSecond = 0; // Rate of responses, 0: full speed.
  std::uint64_t Calls = 0;      // All but /control and /stats.
};

} // namespace

int run(int ArgumentCount, char **Arguments) {
  adapters::program_settings Settings("standin-keyed-store",
                                      "store of keyed topics in memory");
  addListenFlags(Settings, "7300");
  if (!Settings.read(ArgumentCount, Arguments))
    return 0;
  keyed_store_service Service;
  serveUntilSignal(Service, Settings);
  return 0;
}

} // namespace tamarack::stand_ins
