// Stand-in of the platform's store: keyed topics with one partition each.
//
//   POST /-/log-append   at, or producer, epoch and sequence
//   GET  /-/log-read     from, waitMs; 410 if trimmed
//   GET  /-/log-newest   newest record of each key, in one page
//   POST /control        mode=ok|down|silent|lost, trim=1
//   GET  /stats          calls and stored records by topic
//
// Modes: down answers 503 without doing anything; silent does nothing and
// holds the answer; lost does what was asked and holds the answer.
#include "http_program.hpp"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Object.h>

#include <condition_variable>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr int SilenceMs = 3'000;
constexpr std::size_t LengthBytes = 4;

enum class mode { Ok, Down, Silent, Lost };

struct record {
  std::string Key;
  std::string Value;
};

struct topic {
  std::uint64_t First = 0; // Offset of Records[0].
  std::vector<record> Records;
  std::map<std::string, std::pair<std::uint64_t, std::string>> Newest;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Writers;

  std::uint64_t end() const { return First + Records.size(); }
};

std::string bigEndian(std::uint64_t Value, std::size_t Bytes) {
  std::string Text;
  for (std::size_t I = Bytes; I > 0; --I)
    Text.push_back(static_cast<char>(Value >> 8 * (I - 1) & 0xFF));
  return Text;
}

std::uint64_t readBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (char Byte : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  return Value;
}

std::string base64(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

std::string queryText(const Poco::URI &Uri, const std::string &Name) {
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

std::string offsets(std::uint64_t Offset, std::uint64_t End) {
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
      return control(Uri, Response);
    if (Uri.getPath() == "/stats")
      return sendText(Response, 200, stats());
    mode Mode = mode::Ok;
    {
      const std::lock_guard Guard(Lock);
      ++Calls;
      // The operator is served whatever happens to instances.
      if (!Request.has("X-Operator"))
        Mode = Current;
    }
    if (Mode == mode::Down)
      return sendText(Response, 503, "{}");
    if (Mode == mode::Silent)
      return hold(Request);
    answer Answer = perform(Uri, Body);
    if (Mode == mode::Lost)
      return hold(Request);
    sendText(Response, Answer.Status, Answer.Text, Answer.Type);
  }

private:
  struct answer {
    int Status = 200;
    std::string Text = "{}";
    std::string Type = "application/json";
  };

  void hold(Poco::Net::HTTPServerRequest &) {
    std::this_thread::sleep_for(std::chrono::milliseconds(SilenceMs));
  }

  void control(const Poco::URI &Uri, Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    const std::string Wanted = queryText(Uri, "mode");
    if (Wanted == "ok")
      Current = mode::Ok;
    if (Wanted == "down")
      Current = mode::Down;
    if (Wanted == "silent")
      Current = mode::Silent;
    if (Wanted == "lost")
      Current = mode::Lost;
    if (queryNumber(Uri, "trim", 0) == 1)
      for (auto &[Name, Topic] : Topics) {
        Topic.First = Topic.end();
        Topic.Records.clear();
      }
    sendText(Response, 200, "{}");
  }

  std::string stats() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("calls", static_cast<Poco::UInt64>(Calls));
    for (const auto &[Name, Topic] : Topics)
      Top.set(Name, static_cast<Poco::UInt64>(Topic.end()));
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  answer perform(const Poco::URI &Uri, const std::string &Body) {
    const std::string Name = queryText(Uri, "topic");
    if (Uri.getPath() == "/-/log-append")
      return append(Name, Uri, Body);
    if (Uri.getPath() == "/-/log-read")
      return read(Name, Uri);
    if (Uri.getPath() == "/-/log-newest")
      return newest(Name);
    return {404, "{}", "application/json"};
  }

  answer append(const std::string &Name, const Poco::URI &Uri,
                std::string_view Body) {
    const std::lock_guard Guard(Lock);
    topic &Topic = Topics[Name];
    const std::string At = queryText(Uri, "at");
    if (!At.empty() && std::stoull(At) != Topic.end())
      return {412, "{\"end\":" + std::to_string(Topic.end()) + "}",
              "application/json"};
    const std::string Producer = queryText(Uri, "producer");
    if (!Producer.empty()) {
      const std::uint64_t Epoch = std::stoull(queryText(Uri, "epoch"));
      const std::uint64_t Sequence = std::stoull(queryText(Uri, "sequence"));
      const auto Known = Topic.Writers.find(Producer);
      const bool Higher =
          Known == Topic.Writers.end() || Epoch > Known->second.first;
      if (!Higher && (Epoch < Known->second.first ||
                      (!Body.empty() && Sequence != Known->second.second)))
        return {409, "{\"reason\":\"fenced\"}", "application/json"};
      Topic.Writers[Producer] = {Epoch, Body.empty() ? Sequence : Sequence + 1};
    }
    const std::uint64_t Offset = Topic.end();
    while (Body.size() >= LengthBytes) {
      const std::size_t Size = readBigEndian(Body.substr(0, LengthBytes));
      store(Topic, Body.substr(LengthBytes, Size));
      Body.remove_prefix(std::min(Body.size(), LengthBytes + Size));
    }
    Appended.notify_all();
    return {200, offsets(Offset, Topic.end()), "application/json"};
  }

  static void store(topic &Topic, std::string_view Content) {
    const std::size_t KeySize =
        Content.empty() ? 0 : static_cast<unsigned char>(Content[0]);
    record Record{std::string(Content.substr(1, KeySize)),
                  std::string(Content.substr(1 + KeySize))};
    if (Record.Value.empty())
      Topic.Newest.erase(Record.Key);
    else
      Topic.Newest[Record.Key] = {Topic.end(), Record.Value};
    Topic.Records.push_back(std::move(Record));
  }

  answer read(const std::string &Name, const Poco::URI &Uri) {
    const std::uint64_t From =
        static_cast<std::uint64_t>(queryNumber(Uri, "from", 0));
    const std::int64_t WaitMs = queryNumber(Uri, "waitMs", 0);
    std::unique_lock Guard(Lock);
    topic &Topic = Topics[Name];
    Appended.wait_for(Guard, std::chrono::milliseconds(WaitMs),
                      [&Topic, From] { return Topic.end() > From; });
    if (From < Topic.First)
      return {410, "{\"first\":" + std::to_string(Topic.First) + "}",
              "application/json"};
    std::string Out = bigEndian(Topic.end(), 8) + bigEndian(Topic.First, 8);
    for (std::uint64_t Offset = From; Offset < Topic.end(); ++Offset) {
      const record &Record = Topic.Records[Offset - Topic.First];
      const std::size_t Size = 1 + Record.Key.size() + Record.Value.size();
      Out += bigEndian(Size, LengthBytes) + bigEndian(Record.Key.size(), 1) +
             Record.Key + Record.Value;
    }
    return {200, Out, "application/octet-stream"};
  }

  answer newest(const std::string &Name) {
    const std::lock_guard Guard(Lock);
    const topic &Topic = Topics[Name];
    Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
    for (const auto &[Key, Record] : Topic.Newest) {
      Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
      Item->set("key", Key);
      Item->set("value", base64(Record.second));
      Item->set("offset", static_cast<Poco::UInt64>(Record.first));
      Items->add(Item);
    }
    Poco::JSON::Object Top;
    Top.set("items", Items);
    Top.set("more", false);
    Top.set("end", static_cast<Poco::UInt64>(Topic.end()));
    std::ostringstream Out;
    Top.stringify(Out);
    return {200, Out.str(), "application/json"};
  }

  std::mutex Lock; // Guards all below.
  std::condition_variable Appended;
  std::map<std::string, topic> Topics;
  mode Current = mode::Ok;
  std::uint64_t Calls = 0;
};

int run(int Count, char **Arguments) {
  adapters::program_settings Settings("standin-keyed-store",
                                      "store of keyed topics in memory");
  Settings.addText("host", "127.0.0.1", "address to listen on");
  Settings.addNumber("port", "7300", 1, 65535, "port to listen on");
  if (!Settings.read(Count, Arguments))
    return 0;
  keyed_store_service Service;
  serveUntilSignal(Service, Settings.getText("host"),
                   static_cast<int>(Settings.getNumber("port")));
  return 0;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
