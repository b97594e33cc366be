// Decoding of the platform's documents and header fields.
#include "fakes.hpp"

#include "tamarack/platform.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace tamarack;
using namespace tamarack::platform;

namespace {

constexpr char Configuration[] = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h.example", "pathPrefix": "/a/",
     "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300,
     "priority": 0, "service": "engine", "maxAttempts": 2, "public": false,
     "resumable": true, "gapAimMs": 200},
    {"name": "r2", "host": "h.example", "pathPrefix": "/a/b/",
     "kind": "non_idempotent", "timeoutMs": 800, "priority": 2,
     "weightedServices": [{"service": "desk", "weight": 90},
                          {"service": "engine", "weight": 10}],
     "maxAttempts": 1, "public": false},
    {"name": "r3", "host": "h.example", "pathPrefix": "/open/",
     "kind": "idempotent", "service": "desk", "public": true}],
  "services": [
    {"name": "engine", "healthPath": "/healthz", "maxConnections": 360,
     "engine": {"slots": 64, "kvCapacityTokens": 475241, "stride": 5}},
    {"name": "desk", "healthPath": "/healthz", "maxConnections": 100}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
  "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1,
               "prepaid": 3114066},
              {"name": "t2", "apiKeys": ["k3"]}]})";

constexpr char Entry[] = R"({"service": "engine", "address": "10.0.0.9:8080",
  "zone": "z", "version": "v1", "slots": 64, "state": "ready",
  "coldLeftMs": 0, "sequence": 4, "born": 1700000000000})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

// Keeps the last statement.
class recording_limit_listener final : public limits::limit_statement_listener {
public:
  void onLimitStatement(const relay::endpoint_choice &,
                        const limits::limit_statement &Statement,
                        time_ms) override {
    ++Calls;
    Form = Statement.Form;
    PerSecond = Statement.PerSecond;
  }
  void onColdStated(const relay::endpoint_choice &, int RemainingMs,
                    time_ms) override {
    ColdStatements.push_back(RemainingMs);
  }
  std::vector<int> ColdStatements;
  int Calls = 0;
  limits::statement_form Form = limits::statement_form::Absent;
  double PerSecond = -1;
};

// Keeps what responses state about the requests that their endpoint wants.
class recording_statement_listener final
    : public dispatch::endpoint_statement_listener {
public:
  void onLeavingStated(const relay::endpoint_choice &Source, time_ms) override {
    Leaving.emplace_back(Source.Endpoint, Source.StartedAt);
  }
  void onPauseStated(const relay::endpoint_choice &, int DurationMs,
                     time_ms) override {
    PausesMs.push_back(DurationMs);
  }
  void onStatementUnreadable(const relay::endpoint_choice &,
                             std::string_view Field,
                             std::string_view Text) override {
    Unreadable.emplace_back(Field, Text);
  }
  std::vector<std::pair<std::string, std::int64_t>> Leaving;
  std::vector<int> PausesMs;
  std::vector<std::pair<std::string, std::string>> Unreadable;
};

class switched_freshness final : public configuration_freshness {
public:
  bool isConfigurationCurrent() const override { return IsCurrent; }
  bool IsCurrent = true;
};

struct codec_fixture {
  codec_fixture()
      : Random(1),
        LoadBalancer("z", {}, Restriction, Random, AvailabilityListener),
        Codec("i1", LoadBalancer, Statements, LimitListener, Random,
              Freshness) {
    Codec.setRouteTable(decodeConfiguration(Configuration));
    Request.method(edge::http::verb::post);
    Request.target("/a/x?q=1");
    Request.version(11);
    Request.set("Host", "H.example:80");
    Request.set("Attempt-Id", "id1");
    Request.set("Deadline-Ms", "5000");
    Request.set("Key", "k2");
    Request.set("Token-Count", "1460,80");
    Request.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  }

  edge::decoded_request decode() { return Codec.decodeRequest(Request, 1'000); }

  tests::seeded_random Random;
  tests::listed_restriction Restriction;
  tests::recording_availability_listener AvailabilityListener;
  dispatch::load_balancer LoadBalancer;
  recording_statement_listener Statements;
  recording_limit_listener LimitListener;
  switched_freshness Freshness;
  platform_codec Codec;
  edge::request_message Request;
};

} // namespace

TEST_CASE("a configuration is decoded completely", "[platform]") {
  const std::shared_ptr<const relay::route_table> Table =
      decodeConfiguration(Configuration);
  CHECK(Table->Version == 7);
  const relay::route *Route = Table->findRoute("h.example", "/a/x");
  REQUIRE(Route != nullptr);
  CHECK(Route->Kind == relay::call_kind::ResumableStream);
  CHECK(Route->TimeoutMs == 12'000);
  CHECK(Table->findRoute("h.example", "/a/b/c")->Name == "r2");
  CHECK(Table->findRoute("h.example", "/a/b/c")->Services.size() == 2);
  CHECK(Table->findRoute("h.example", "/none/") == nullptr);
  CHECK(Table->findRoute("other", "/a/x") == nullptr);
  CHECK(Table->findService("engine")->KvCacheTokens == 475'241);
  CHECK(Table->findService("engine")->MaxTokensPerEvent == 5);
  CHECK(Table->findAccountByKey("k1")->PrepaidTokens == 3'114'066);
  CHECK(Table->findAccountByKey("none") == nullptr);
  CHECK(Table->Limits.MaxBodyBytes == 1'000);
}

TEST_CASE("a malformed configuration is an error", "[platform]") {
  CHECK_THROWS_AS(decodeConfiguration("{"), document_error);
  CHECK_THROWS_AS(decodeConfiguration("[]"), document_error);
  CHECK_THROWS_AS(
      decodeConfiguration(replaced(Configuration, "\"version\": 7,", "")),
      document_error);
}

TEST_CASE("an endpoint entry is decoded", "[platform]") {
  const dispatch::endpoint_entry Read = decodeEndpointEntry("e", Entry);
  CHECK(Read.Id == "e");
  CHECK(Read.Slots == 64);
  CHECK_FALSE(Read.Leaving);
  CHECK(Read.StartedAt == 1'700'000'000'000);
  CHECK(decodeEndpointEntry("e", replaced(Entry, "ready", "draining")).Leaving);
}

TEST_CASE("a malformed endpoint entry is an error", "[platform]") {
  CHECK_THROWS_AS(decodeEndpointEntry("e", "\xff\xfe"), document_error);
  CHECK_THROWS_AS(decodeEndpointEntry("e", "7"), document_error);
  CHECK(decodeEndpointEntry("e", Entry).Version == "v1");
  CHECK_THROWS_AS(
      decodeEndpointEntry("e", replaced(Entry, "\"version\": \"v1\", ", "")),
      document_error);
  CHECK_THROWS_AS(decodeEndpointEntry("e", replaced(Entry, "\"v1\"", "1")),
                  document_error);
  CHECK_THROWS_AS(decodeEndpointEntry("e", replaced(Entry, "v1", "")),
                  document_error);
  CHECK_THROWS_AS(decodeEndpointEntry("e", replaced(Entry, "ready", "new")),
                  document_error);
  CHECK_THROWS_AS(
      decodeEndpointEntry("e", replaced(Entry, "10.0.0.9:8080", "x")),
      document_error);
  CHECK_THROWS_AS(decodeEndpointEntry("e", replaced(Entry, "\"slots\": 64",
                                                    "\"slots\": \"a\"")),
                  document_error);
  CHECK_THROWS_AS(
      decodeEndpointEntry("e", replaced(Entry, "1700000000000", "17.5")),
      document_error);
  CHECK_THROWS_AS(
      decodeEndpointEntry("e", replaced(Entry, "\"service\": \"engine\",", "")),
      document_error);
}

// Guards against a writer of odd entries that ends the process, or whose entry
// is taken for an endpoint with other values than it has.
TEST_CASE("an odd endpoint entry is an error and nothing else", "[platform]") {
  const auto Rejects = [](const std::string &Old, const std::string &New) {
    CHECK_THROWS_AS(decodeEndpointEntry("e", replaced(Entry, Old, New)),
                    document_error);
  };
  SECTION("numbers that are too large") {
    for (const char *Slots : {"4294967297", "2147483647", "-1", "0",
                              "18446744073709551615", "1e300", "1e999"})
      Rejects("\"slots\": 64", "\"slots\": " + std::string(Slots));
    for (const char *Start : {"9223372036854775807", "18446744073709551615",
                              "300000000000000000000", "-1"})
      Rejects("1700000000000", Start);
    for (const char *WarmUp : {"1e300", "-1", "\"a\"", "1e999"})
      Rejects("\"coldLeftMs\": 0", "\"coldLeftMs\": " + std::string(WarmUp));
    for (const char *Sequence :
         {"9223372036854775807", "-5", "1e300", "18446744073709551615"})
      Rejects("\"sequence\": 4", "\"sequence\": " + std::string(Sequence));
  }
  SECTION("a port out of range") {
    for (const char *Port :
         {"65536", "4294975376", "0", "-1", "99999999999999999999", "", "80x"})
      Rejects("10.0.0.9:8080", "10.0.0.9:" + std::string(Port));
  }
  SECTION("texts that are too long or no UTF-8") {
    Rejects("\"v1\"", '"' + std::string(300, 'v') + '"');
    Rejects("\"v1\"", "\"\xff\xfe\"");
    Rejects("{", "{ \"more\": \"" + std::string(1'000'000, 'x') + "\", ");
  }
  SECTION("deeply nested values") {
    for (const std::size_t Levels : {30'000u, 100'000u, 1'000'000u}) {
      CHECK_THROWS_AS(decodeEndpointEntry("e", std::string(Levels, '[')),
                      document_error);
      CHECK_THROWS_AS(decodeEndpointEntry("e", std::string(Levels, '[') +
                                                   std::string(Levels, ']')),
                      document_error);
    }
    // A value that no reader needs does no harm.
    const std::string Nested =
        std::string(20'000, '[') + std::string(20'000, ']');
    CHECK(decodeEndpointEntry(
              "e", replaced(Entry, "{", "{ \"more\": " + Nested + ", "))
              .Slots == 64);
  }
  SECTION("ids that would change the header of a request") {
    for (const std::string_view Id :
         {"", "a b", "a\r\nX: y", "a\x01", "\xc3\xa9"})
      CHECK_THROWS_AS(decodeEndpointEntry(Id, Entry), document_error);
    CHECK_THROWS_AS(decodeEndpointEntry(std::string(300, 'i'), Entry),
                    document_error);
  }
}

TEST_CASE("an odd configuration is an error and nothing else", "[platform]") {
  CHECK_THROWS_AS(decodeConfiguration(std::string(250'000, '[')),
                  document_error);
  for (const char *Version : {"1e300", "18446744073709551615", "-1", "\"7\""})
    CHECK_THROWS_AS(
        decodeConfiguration(replaced(Configuration, "\"version\": 7",
                                     "\"version\": " + std::string(Version))),
        document_error);
  for (const char *Number : {"1e300", "18446744073709551615", "1e999"})
    for (const char *Field :
         {"\"timeoutMs\": 12000", "\"weight\": 90", "\"maxBodyBytes\": 1000",
          "\"prepaid\": 3114066"}) {
      const std::string Name(Field, std::string_view(Field).find(' '));
      CHECK_THROWS_AS(
          decodeConfiguration(replaced(Configuration, Field, Name + Number)),
          document_error);
    }
}

TEST_CASE("a request is decoded into a call", "[platform]") {
  codec_fixture Fixture;
  const edge::decoded_request Decoded = Fixture.decode();
  REQUIRE(Decoded.Call);
  CHECK(Decoded.Call->Id == "id1");
  CHECK(Decoded.Call->Account == "t1");
  CHECK(Decoded.Call->Priority == 1);
  CHECK(Decoded.Call->Deadline == 6'000);
  CHECK(Decoded.Call->maxTokens() == 1'540);
  CHECK(Decoded.Call->Prompt.size() == 3);
  CHECK(Decoded.Call->Prompt[0].Id == 0x5c1e07a2);
  CHECK(Decoded.ForwardRequest.count("Key") == 0);
}

// Guards against equal requests that are taken for different ones because of
// what differs between two sends, and against different ones taken for equal.
TEST_CASE("a request that is sent again has the same fingerprint",
          "[platform]") {
  codec_fixture Fixture;
  Fixture.Request.body() = "text";
  const std::uint64_t First = Fixture.decode().Call->Fingerprint;
  CHECK(First != 0);
  SECTION("id, time, order of fields, case of the host") {
    Fixture.Request.set("Attempt-Id", "id2");
    Fixture.Request.set("Deadline-Ms", "700");
    Fixture.Request.set("Host", "h.EXAMPLE");
    Fixture.Request.set("X-New", "1");
    CHECK(Fixture.decode().Call->Fingerprint == First);
  }
  SECTION("another key of the same account") {
    Fixture.Request.set("Key", "k1");
    CHECK(Fixture.decode().Call->Fingerprint == First);
  }
  SECTION("another body, target or method") {
    Fixture.Request.body() = "texT";
    CHECK(Fixture.decode().Call->Fingerprint != First);
    Fixture.Request.body() = "text";
    Fixture.Request.target("/a/x?q=2");
    CHECK(Fixture.decode().Call->Fingerprint != First);
    Fixture.Request.target("/a/x?q=1");
    Fixture.Request.method(edge::http::verb::put);
    CHECK(Fixture.decode().Call->Fingerprint != First);
  }
  SECTION("the same bytes of another account") {
    Fixture.Codec.setRouteTable(decodeConfiguration(
        replaced(Configuration, "\"name\": \"t1\"", "\"name\": \"t9\"")));
    CHECK(Fixture.decode().Call->Fingerprint != First);
  }
}

TEST_CASE("fields that only routers may set are not forwarded", "[platform]") {
  codec_fixture Fixture;
  for (const char *Field : {"Tenant", "Kv-Hold", "Pin-Ms", "Kv-Backup",
                            "Kv-From", "Expect-Instance", "Request-Priority"})
    Fixture.Request.set(Field, "forged");
  Fixture.Request.set("Connection", "keep-alive, X-Hop, Attempt-Id");
  Fixture.Request.set("X-Hop", "1");
  Fixture.Request.set("X-Kept", "1");
  edge::decoded_request Decoded = Fixture.decode();
  REQUIRE(Decoded.Call);
  relay::send_options Options;
  Options.Deadline = 6'000;
  Options.LastEventId = "12";
  Fixture.Codec.prepareAttempt(*Decoded.Call, {"e1", "10.0.0.1:1"}, Options,
                               2'500, Decoded.ForwardRequest);
  const edge::request_message &Sent = Decoded.ForwardRequest;
  CHECK(Sent["Tenant"] == "t1");
  CHECK(Sent["Expect-Instance"] == "e1");
  CHECK(Sent["Deadline-Ms"] == "3500");
  CHECK(Sent["Last-Event-Id"] == "12");
  CHECK(Sent["Request-Priority"] == "1");
  CHECK(Sent.count("Kv-Hold") == 0);
  CHECK(Sent.count("X-Hop") == 0);
  CHECK(Sent["X-Kept"] == "1");
  CHECK(Sent["Attempt-Id"] == "id1");
  CHECK(Sent.target() == "/a/x?q=1");
}

TEST_CASE("invalid requests are refused", "[platform]") {
  using relay::error_kind;
  codec_fixture Fixture;
  SECTION("no configuration yet") {
    Fixture.Codec.setRouteTable(nullptr);
    CHECK(Fixture.decode().Refusal == error_kind::NotReady);
  }
  SECTION("no route") {
    Fixture.Request.target("/none/");
    CHECK(Fixture.decode().Refusal == error_kind::NotFound);
  }
  SECTION("unknown key") {
    Fixture.Request.set("Key", "none");
    CHECK(Fixture.decode().Refusal == error_kind::Unauthorized);
  }
  // Guards against final refusals of routes and keys that a newer version has.
  SECTION("no route and unknown key while the configuration may be old") {
    Fixture.Freshness.IsCurrent = false;
    CHECK(Fixture.decode().Call);
    Fixture.Request.set("Key", "none");
    CHECK(Fixture.decode().Refusal == error_kind::NotReady);
    Fixture.Request.target("/none/");
    CHECK(Fixture.decode().Refusal == error_kind::NotReady);
    Fixture.Freshness.IsCurrent = true;
    CHECK(Fixture.decode().Refusal == error_kind::NotFound);
  }
  SECTION("two keys") {
    Fixture.Request.insert("Key", "k1");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  // Guards against a process that ends: the library builds no such request.
  SECTION("TRACE with a body") {
    Fixture.Request.method(edge::http::verb::trace);
    CHECK(Fixture.decode().Call);
    Fixture.Request.body() = "body";
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("no request id") {
    Fixture.Request.erase("Attempt-Id");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("no remaining time") {
    Fixture.Request.set("Deadline-Ms", "0");
    CHECK(Fixture.decode().Refusal == error_kind::DeadlineTooShort);
  }
  SECTION("malformed remaining time") {
    Fixture.Request.set("Deadline-Ms", "soon");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  // Guards against model calls that a prepaid account gets for nothing.
  SECTION("no token counts for a model engine") {
    Fixture.Request.set("Token-Count", "");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
    Fixture.Request.set("Key", "k3"); // Without a limit.
    CHECK(Fixture.decode().Call);
    Fixture.Request.set("Key", "k1");
    Fixture.Request.erase("Token-Count");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("malformed token counts") {
    Fixture.Request.set("Token-Count", "1,2,3");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("numbers of tokens out of range") {
    Fixture.Request.set("Token-Count",
                        GENERATE("9000000000000000000,9000000000000000000",
                                 "2147483648,1", "1,2147483648", "-1,5",
                                 "99999999999999999999,1"));
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("a prompt part of too many tokens") {
    Fixture.Request.set("Prompt-Prefix", "a1:4294967297");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("malformed prompt parts") {
    Fixture.Request.set("Prompt-Prefix", "zz:1");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("an absolute target") {
    Fixture.Request.target("http://h.example/a/x");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  CHECK_FALSE(Fixture.decode().Call);
}

// Guards against routes that are open to everybody once the last account, or
// the last key of an account, is taken away.
TEST_CASE("without a key of an account no route is open that isn't public",
          "[platform]") {
  codec_fixture Fixture;
  const std::string Text = Configuration;
  const std::size_t At = Text.find("\"tenants\"");
  const auto Tenants = [&Text, At](const std::string &Value) {
    return decodeConfiguration(Text.substr(0, At) + "\"tenants\": " + Value +
                               "}");
  };
  const auto RefuseAll = [&Fixture] {
    for (const char *Key : {"k1", "none", ""}) {
      Fixture.Request.set("Key", Key);
      CHECK(Fixture.decode().Refusal == relay::error_kind::Unauthorized);
      CHECK_FALSE(Fixture.decode().Call);
    }
    Fixture.Request.erase("Key");
    CHECK(Fixture.decode().Refusal == relay::error_kind::Unauthorized);
    Fixture.Request.target("/open/x");
    CHECK(Fixture.decode().Call);
  };
  SECTION("no account") {
    Fixture.Codec.setRouteTable(Tenants(GENERATE("[]", "null")));
    RefuseAll();
  }
  SECTION("an account without keys") {
    Fixture.Codec.setRouteTable(Tenants(
        GENERATE(R"([{"name": "t1"}])", R"([{"name": "t1", "apiKeys": []}])",
                 R"([{"name": "t1", "apiKeys": null}])")));
    RefuseAll();
  }
  SECTION("no list of accounts at all") {
    Fixture.Codec.setRouteTable(
        decodeConfiguration(Text.substr(0, Text.rfind(',', At)) + "}"));
    Fixture.Request.erase("Key");
    CHECK(Fixture.decode().Call);
  }
  SECTION("something that is no list") {
    for (const char *Value : {"{}", "7", "\"t1\"", "false"})
      CHECK_THROWS_AS(Tenants(Value), document_error);
  }
}

// Guards against a key of no characters in the configuration, which every
// request without a key would have.
TEST_CASE("an empty key is nobody's", "[platform]") {
  codec_fixture Fixture;
  Fixture.Codec.setRouteTable(
      decodeConfiguration(replaced(Configuration, "\"k3\"", "\"\", \"k3\"")));
  Fixture.Request.set("Key", "k3");
  CHECK(Fixture.decode().Call);
  Fixture.Request.set("Key", "");
  CHECK(Fixture.decode().Refusal == relay::error_kind::Unauthorized);
  Fixture.Request.erase("Key");
  CHECK(Fixture.decode().Refusal == relay::error_kind::Unauthorized);
}

// Guards against names that are taken for none, or that end the header field
// that they are sent in, and against a budget that is read as unlimited.
TEST_CASE("a configuration with unusable names or budgets is an error",
          "[platform]") {
  const auto Rejects = [](const char *Old, const char *New) {
    CAPTURE(New);
    CHECK_THROWS_AS(decodeConfiguration(replaced(Configuration, Old, New)),
                    document_error);
  };
  for (const char *Name : {"\"\"", "\"a\\r\\nX: y\"", "\"a\\u0000b\"",
                           "\"a\\u007f\"", "\" a\"", "\"a\\t\""})
    Rejects("\"t1\"", Name);
  for (const char *Budget : {"\"3114066\"", "true", "[]", "{}"})
    Rejects("3114066", Budget);
  Rejects("\"/a/\"", "\"\"");
  Rejects("\"host\": \"h.example\"", "\"host\": \"\"");
  Rejects("\"service\": \"engine\", \"maxAttempts\"",
          "\"service\": \"\", \"maxAttempts\"");
  Rejects("[{\"service\": \"desk\", \"weight\"",
          "[{\"service\": \"\", \"weight\"");
  Rejects("{\"name\": \"desk\"", "{\"name\": \"\"");
  const std::shared_ptr<const relay::route_table> Table = decodeConfiguration(
      replaced(Configuration, "\"t1\"", "\"associa\\u00e7\\u00e3o 1\""));
  CHECK(Table->findAccountByKey("k1")->Name == "associa\xc3\xa7\xc3\xa3o 1");
  CHECK_FALSE(decodeConfiguration(replaced(Configuration, "3114066", "null"))
                  ->findAccountByKey("k1")
                  ->PrepaidTokens);
}

// Guards against a service that gets requests although its share is 0, and
// against a sum of shares that wraps around.
TEST_CASE("a service without a share gets no requests", "[platform]") {
  codec_fixture Fixture;
  const auto Use = [&Fixture](const char *Desk, const char *Engine) {
    Fixture.Codec.setRouteTable(decodeConfiguration(
        replaced(replaced(Configuration, "\"weight\": 90", Desk),
                 "\"weight\": 10", Engine)));
  };
  Fixture.Request.target("/a/b/x");
  Use("\"weight\": 0", "\"weight\": 1");
  for (int Count = 0; Count < 20; ++Count)
    CHECK(Fixture.decode().Call->Service == "engine");
  Use("\"weight\": 2147483647", "\"weight\": 2147483647");
  std::set<std::string> Services;
  for (int Count = 0; Count < 50; ++Count)
    Services.insert(Fixture.decode().Call->Service);
  CHECK(Services == std::set<std::string>{"desk", "engine"});
  Use("\"weight\": 0", "\"weight\": -3");
  CHECK(Fixture.decode().Refusal == relay::error_kind::NoEndpoint);
}

// Guards against a load that wraps around and makes a busy endpoint look idle.
TEST_CASE("a load out of range is ignored", "[platform]") {
  codec_fixture Fixture;
  dispatch::endpoint_entry Entry;
  Entry.Id = "e1";
  Entry.Service = "engine";
  Fixture.LoadBalancer.setEndpoints(std::span(&Entry, 1), 0);
  relay::endpoint_choice Source;
  Source.Endpoint = "e1";
  edge::response_fields Fields;
  Fields.result(200);
  const std::string Unknown = Fixture.LoadBalancer.describe("e1", 20);
  for (const char *Load : {"4294967297,0,8", "1,-1,8", "1,0", "9e9,0,8"}) {
    Fields.set("Server-Load", Load);
    Fixture.Codec.recordEndpointState(Source, Fields, 10);
    CHECK(Fixture.LoadBalancer.describe("e1", 20) == Unknown);
  }
  Fields.set("Server-Load", "3,0,8");
  Fixture.Codec.recordEndpointState(Source, Fields, 10);
  CHECK(Fixture.LoadBalancer.describe("e1", 20) != Unknown);
}

TEST_CASE("a stream is named alike over the attempts of its account",
          "[platform]") {
  using relay::error_kind;
  codec_fixture Fixture;
  const std::uint64_t First = Fixture.decode().Call->StreamKey;
  REQUIRE(First != 0);
  Fixture.Request.set("Attempt-Id", "id2");
  CHECK(Fixture.decode().Call->StreamKey != First);
  SECTION("the caller takes it up") {
    Fixture.Request.set("Resumes", "id1");
    // Without the last event it begins anew.
    CHECK(Fixture.decode().Call->StreamKey != First);
    CHECK(Fixture.decode().Call->ResumeAfter.empty());
    Fixture.Request.set("Last-Event-Id", "12");
    CHECK(Fixture.decode().Call->StreamKey == First);
    CHECK(Fixture.decode().Call->ResumeAfter == "12");
    REQUIRE(Fixture.decode().Call->RouteServices.size() == 1);
    CHECK(Fixture.decode().Call->RouteServices[0].Name == "engine");
    CHECK(Fixture.decode().Call->RouteServices[0].MaxTokensPerEvent == 5);
    CHECK(Fixture.decode().ForwardRequest["Last-Event-Id"] == "12");
  }
  SECTION("another account names it") {
    Fixture.Request.set("Resumes", "id1");
    Fixture.Request.set("Last-Event-Id", "12");
    Fixture.Request.set("Key", "k3");
    CHECK(Fixture.decode().Call->StreamKey != First);
  }
  SECTION("the first attempt is not named") {
    Fixture.Request.set("Last-Event-Id", "12");
    CHECK(Fixture.decode().Refusal == error_kind::StreamUnknown);
  }
  SECTION("two attempts are named") {
    Fixture.Request.set("Last-Event-Id", "12");
    Fixture.Request.set("Resumes", "id1");
    Fixture.Request.insert("Resumes", "id0");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
  SECTION("the route has no streams to take up") {
    Fixture.Request.target("/a/b/c");
    CHECK(Fixture.decode().Call->StreamKey == 0);
    Fixture.Request.set("Resumes", "id1");
    CHECK(Fixture.decode().Refusal == error_kind::InvalidRequest);
  }
}

TEST_CASE("a public route needs no key", "[platform]") {
  codec_fixture Fixture;
  Fixture.Request.target("/open/x");
  Fixture.Request.erase("Key");
  const edge::decoded_request Decoded = Fixture.decode();
  REQUIRE(Decoded.Call);
  CHECK(Decoded.Call->Account.empty());
}

TEST_CASE("the head of an endpoint's response is decoded", "[platform]") {
  codec_fixture Fixture;
  relay::call Call;
  Call.Id = "id1";
  edge::response_fields Fields;
  Fields.result(200);
  Fields.set("Attempt-Id", "id1");
  Fields.set("Server-Stamp", "s");
  Fields.set("Server-Load", "3,0,8");
  Fields.set("Connection", "close");
  CHECK(Fixture.Codec.matchResponse(Call, Fields) == edge::response_match::Own);
  const relay::response_head Head = Fixture.Codec.decodeResponseHead(Fields);
  CHECK_FALSE(Head.Unusable);
  CHECK(Head.Fields.size() == 2);
  Call.Id = "other";
  CHECK(Fixture.Codec.matchResponse(Call, Fields) ==
        edge::response_match::Other);
  SECTION("a success without a signature is unusable") {
    Fields.erase("Server-Stamp");
    CHECK(Fixture.Codec.decodeResponseHead(Fields).Unusable);
  }
  SECTION("an empty signature is none") {
    Fields.set("Server-Stamp", "");
    CHECK(Fixture.Codec.decodeResponseHead(Fields).Unusable);
  }
  SECTION("a response with a content encoding is unusable") {
    Fields.set("Content-Encoding", "gzip");
    CHECK(Fixture.Codec.decodeResponseHead(Fields).Unusable);
  }
  SECTION("a response with two ids or signatures is unusable") {
    const char *Name = GENERATE("Attempt-Id", "Server-Stamp");
    Fields.set(Name, "a");
    CHECK_FALSE(Fixture.Codec.decodeResponseHead(Fields).Unusable);
    Fields.insert(Name, "b");
    CHECK(Fixture.Codec.decodeResponseHead(Fields).Unusable);
  }
  SECTION("the call was not executed") {
    Fields.result(503);
    Fields.set("Not-Executed", "1");
    CHECK(Fixture.Codec.decodeResponseHead(Fields).NotRun);
  }
  SECTION("another endpoint responds at the address") {
    Fields.result(421);
    CHECK(Fixture.Codec.decodeResponseHead(Fields).Misplaced);
  }
}

// Guards against a limit that is misread: a wrong number would be obeyed by the
// whole fleet.
TEST_CASE("an endpoint states in its responses that it leaves", "[platform]") {
  codec_fixture Fixture;
  relay::endpoint_choice Source;
  Source.Endpoint = "e1";
  Source.StartedAt = 7;
  edge::response_fields Fields;
  Fields.result(GENERATE(200u, 404u, 500u, 503u));
  SECTION("with any status") {
    Fields.set("Server-Leaving", " 1");
    Fixture.Codec.recordEndpointState(Source, Fields, 10);
    REQUIRE(Fixture.Statements.Leaving.size() == 1);
    CHECK(Fixture.Statements.Leaving[0] ==
          std::pair<std::string, std::int64_t>("e1", 7));
  }
  SECTION("but not in a response of another endpoint") {
    Fields.result(421);
    Fields.set("Server-Leaving", "1");
    Fixture.Codec.recordEndpointState(Source, Fields, 10);
    CHECK(Fixture.Statements.Leaving.empty());
  }
  SECTION("a value that is not known says nothing") {
    Fields.set("Server-Leaving", GENERATE("", "0", "yes", "1, 1"));
    Fixture.Codec.recordEndpointState(Source, Fields, 10);
    CHECK(Fixture.Statements.Leaving.empty());
    CHECK(Fixture.Statements.Unreadable.size() == 1);
  }
}

TEST_CASE("the pause that an endpoint asks for is read or rejected",
          "[platform]") {
  codec_fixture Fixture;
  const relay::endpoint_choice Source;
  edge::response_fields Fields;
  Fields.result(503);
  const auto Record = [&](const char *Text) {
    Fields.set("Retry-After", Text);
    Fixture.Codec.recordEndpointState(Source, Fields, 10);
  };
  SECTION("seconds, also with decimals") {
    Record("2");
    Record("0.25");
    Record("0");
    CHECK(Fixture.Statements.PausesMs == std::vector<int>{2'000, 250, 0});
  }
  SECTION("an hour at most") {
    Record("1e300");
    CHECK(Fixture.Statements.PausesMs == std::vector<int>{3'600'000});
  }
  SECTION("anything else is unreadable") {
    for (const char *Text : {"-1", "soon", "", "1e999", "nan", "2 s",
                             "Wed, 21 Oct 2026 07:28:00 GMT"})
      Record(Text);
    CHECK(Fixture.Statements.PausesMs.empty());
    CHECK(Fixture.Statements.Unreadable.size() == 7);
  }
  SECTION("other responses ask for no pause") {
    Fields.result(GENERATE(200u, 429u, 500u, 421u));
    Record("2");
    CHECK(Fixture.Statements.PausesMs.empty());
    CHECK(Fixture.Statements.Unreadable.empty());
  }
}

// Guards against an unreadable field that lifts or sets a limit.
TEST_CASE("how long an endpoint is cold is read or rejected", "[platform]") {
  codec_fixture Fixture;
  edge::response_fields Fields;
  Fields.result(GENERATE(200u, 500u, 503u));
  for (const char *Text :
       {"1500", "0", " 20.9 ", "1e300", "-1", "soon", "", "nan", "1, 2"})
    Fields.insert("Cold-Ms", Text);
  Fixture.Codec.recordEndpointState({"e1", "10.0.0.1:1"}, Fields, 10);
  CHECK(Fixture.LimitListener.ColdStatements ==
        std::vector<int>{1'500, 0, 20, 3'600'000});
  CHECK(Fixture.Statements.Unreadable.size() == 5);
  Fields.result(421);
  Fixture.Codec.recordEndpointState({"e1", "10.0.0.1:1"}, Fields, 10);
  CHECK(Fixture.LimitListener.ColdStatements.size() == 4);
}

TEST_CASE("the rate of cold endpoints is read or rejected", "[platform]") {
  const auto Read = [](const std::string &Value) {
    const std::shared_ptr<const relay::route_table> Table = decodeConfiguration(
        replaced(Configuration, "\"name\": \"desk\"",
                 "\"name\": \"desk\", \"coldPerS\": " + Value));
    CHECK(Table->findService("engine")->ColdRequestsPerSecond == 0);
    return Table->findService("desk")->ColdRequestsPerSecond;
  };
  CHECK(Read("7.6") == 7.6);
  CHECK(Read("3") == 3);
  CHECK(Read("0") == 0);
  CHECK(Read("null") == 0);
  for (const char *Value : {"-1", "1e300", "\"7\"", "true", "[]"})
    CHECK_THROWS_AS(Read(Value), document_error);
}

TEST_CASE("the limit that an endpoint states is read or rejected",
          "[platform]") {
  using limits::statement_form;
  codec_fixture Fixture;
  const auto Read = [&Fixture](std::initializer_list<const char *> Texts,
                               int Status = 200) {
    edge::response_fields Fields;
    Fields.result(Status);
    for (const char *Text : Texts)
      Fields.insert("Server-Limit", Text);
    Fixture.Codec.recordEndpointState({"e1", "10.0.0.1:1"}, Fields, 0);
    return Fixture.LimitListener.Form;
  };
  SECTION("none") { CHECK(Read({}) == statement_form::Absent); }
  SECTION("numbers") {
    const std::pair<const char *, double> Numbers[] = {
        {"2", 2}, {"2.1", 2.1}, {" 0.1 ", 0.1}, {"0", 0}, {"1e9", 1e9}};
    for (const auto &[Text, Value] : Numbers) {
      CHECK(Read({Text}) == statement_form::Stated);
      CHECK(Fixture.LimitListener.PerSecond == Value);
    }
  }
  SECTION("no numbers") {
    for (const char *Text : {"", "-1", "-0", "nan", "inf", "2 a second", "0x2",
                             "1e999", "2,3", "+2"})
      CHECK(Read({Text}) == statement_form::Unreadable);
  }
  SECTION("two fields") {
    CHECK(Read({"2", "3"}) == statement_form::Unreadable);
  }
  SECTION("a refusal states it too, another endpoint at the address doesn't") {
    CHECK(Read({"2"}, 503) == statement_form::Stated);
    CHECK(Fixture.LimitListener.Calls == 1);
    Read({"3"}, 421);
    CHECK(Fixture.LimitListener.Calls == 1);
  }
}

TEST_CASE("an error response says when to retry", "[platform]") {
  codec_fixture Fixture;
  const edge::response_message Message = Fixture.Codec.makeErrorResponse(
      relay::error_kind::Overloaded, 350, "id1");
  CHECK(Message.result_int() == 503);
  CHECK(Message["Retry-After"] == "0.350");
  CHECK(Message["Attempt-Id"] == "id1");
}

namespace {

class discarding_listener final : public store_call_listener {
public:
  void onStoreCall(const store_call_report &) override {}
};

} // namespace

// Guards against a late response of a former era of the store that is taken for
// the truth, against an era that can't be read and holds everything up, and
// against a store whose first era is 0 and whose first drill goes unnoticed.
TEST_CASE("the era of the store is read from its responses", "[platform]") {
  memory::memory_budget Memory(16u << 20);
  edge::net::io_context Context;
  edge::tcp::acceptor PortFinder(Context,
                                 {edge::net::ip::make_address("127.0.0.1"), 0});
  const std::string Address =
      "127.0.0.1:" + std::to_string(PortFinder.local_endpoint().port());
  PortFinder.close();
  std::string Stated;
  edge::simple_http_server Server(
      Context, Memory,
      [&Stated](const edge::request_message &,
                const edge::respond_callback &Respond) {
        edge::response_message Response(edge::http::status::ok, 11);
        if (!Stated.empty())
          Response.set("Store-Era", Stated);
        Response.body() = std::string(16, '\0');
        Respond(std::move(Response));
      });
  Server.listen(edge::parseAddress(Address));
  discarding_listener Listener;
  tests::recording_era_listener EraListener;
  store_era Era(EraListener);
  platform_store Store(Context, {.Address = Address, .CallsFor = "test"}, Era,
                       Listener);
  const auto Read = [&](std::string Text) {
    Stated = std::move(Text);
    std::optional<keyed_page> Page;
    Store.read(store_topic::Grants, 0, 0,
               [&Page](keyed_page Received) { Page = std::move(Received); });
    while (!Page)
      Context.run_one();
    return *Page;
  };
  // Eras inside are one higher than those that the store states.
  CHECK(Read("").Status == store_status::Ok);
  CHECK(Read("0").Era == 1);
  CHECK(Read("1").Era == 2);
  CHECK(Read("4").Era == 5);
  CHECK(Read("3").Status == store_status::Unavailable);
  for (const char *Text :
       {"x", "-5", "5x", "99999999999999999999", "4294967295"}) {
    const keyed_page Page = Read(Text);
    CHECK(Page.Status == store_status::Ok);
    CHECK(Page.Era == 5);
  }
  CHECK(Read("5").Era == 6);
  const std::vector<std::pair<std::uint64_t, std::uint64_t>> Changes = {
      {0, 1}, {1, 2}, {2, 5}, {5, 6}};
  CHECK(EraListener.Changes == Changes);
  CHECK(EraListener.Former == 1);
  CHECK(EraListener.Missing == 5);
}

// Guards against values that are cut or padded by the decoding, and against a
// damaged value that makes the other records of its page unreadable.
TEST_CASE("values of a snapshot are decoded, damaged ones are empty",
          "[platform]") {
  memory::memory_budget Memory(16u << 20);
  edge::net::io_context Context;
  edge::tcp::acceptor PortFinder(Context,
                                 {edge::net::ip::make_address("127.0.0.1"), 0});
  const std::string Address =
      "127.0.0.1:" + std::to_string(PortFinder.local_endpoint().port());
  PortFinder.close();
  edge::simple_http_server Server(
      Context, Memory,
      [](const edge::request_message &, const edge::respond_callback &Respond) {
        edge::response_message Response(edge::http::status::ok, 11);
        Response.body() = R"({"end": 9, "more": false, "items": [
          {"key": "a", "offset": 1, "value": "YQ=="},
          {"key": "b", "offset": 2, "value": "YWI="},
          {"key": "c", "offset": 3, "value": "?"},
          {"key": "d", "offset": 4, "value": "AGJj"}]})";
        Respond(std::move(Response));
      });
  Server.listen(edge::parseAddress(Address));
  discarding_listener Listener;
  tests::recording_era_listener EraListener;
  store_era Era(EraListener);
  platform_store Store(Context, {.Address = Address, .CallsFor = "test"}, Era,
                       Listener);
  std::optional<keyed_page> Page;
  Store.readSnapshotPage(store_topic::Endpoints, std::nullopt,
                         [&Page](keyed_page Read) { Page = std::move(Read); });
  while (!Page)
    Context.run_one();
  REQUIRE(Page->Status == store_status::Ok);
  REQUIRE(Page->Records.size() == 4);
  CHECK(Page->NextOffset == 9);
  CHECK(Page->Records[0].Value == "a");
  CHECK(Page->Records[1].Value == "ab");
  CHECK(Page->Records[2].Value.empty());
  CHECK(Page->Records[3].Value == std::string("\0bc", 3));
}

namespace {

std::string boundConfiguration(const std::string &Route,
                               const std::string &Account) {
  return R"({"version": 1, "services": [{"name": "s"}],
    "routes": [{"host": "h", "pathPrefix": "/", "kind": "idempotent",
                "service": "s")" +
         Route + R"(}], "tenants": [{"name": "t", "apiKeys": ["k"])" + Account +
         "}]}";
}

} // namespace

// Guards against a bound that is read as none.
TEST_CASE("routes and accounts name the regions that may serve their calls",
          "[platform]") {
  const std::shared_ptr<const relay::route_table> Table =
      decodeConfiguration(boundConfiguration(
          R"(, "allowedRegions": ["a", "b"])", R"(, "allowedRegions": ["b"])"));
  const relay::allowed_regions &Route =
      Table->findRoute("h", "/")->AllowedRegions;
  const relay::allowed_regions &Account =
      Table->findAccount("t")->AllowedRegions;
  CHECK(Route.contains("a"));
  CHECK_FALSE(Route.contains(""));
  const relay::allowed_regions Both = relay::intersect(Route, Account);
  CHECK(Both.contains("b"));
  CHECK_FALSE(Both.contains("a"));
  const relay::allowed_regions None = relay::intersect(Account, {true, {"c"}});
  CHECK(None.IsBound);
  CHECK_FALSE(None.contains("b"));
  for (const char *Absent :
       {"", R"(, "allowedRegions": [])", R"(, "allowedRegions": null)"}) {
    const std::shared_ptr<const relay::route_table> Free =
        decodeConfiguration(boundConfiguration(Absent, Absent));
    CHECK(Free->findRoute("h", "/")->AllowedRegions.contains(""));
    CHECK_FALSE(Free->findAccount("t")->AllowedRegions.IsBound);
  }
  for (const char *Odd : {R"("a")", "7", "true", R"([""])", R"(["a", 1])",
                          R"([["a"]])", R"({"a": "b"})", R"([null])"}) {
    const std::string Field = std::string(R"(, "allowedRegions": )") + Odd;
    CHECK_THROWS_AS(decodeConfiguration(boundConfiguration(Field, "")),
                    document_error);
    CHECK_THROWS_AS(decodeConfiguration(boundConfiguration("", Field)),
                    document_error);
  }
}
