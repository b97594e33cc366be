// Calls to the platform's store, before a server on a loopback address.
#include "fakes.hpp"

#include "tamarack/platform.hpp"

#include <Poco/URI.h>
#include <catch2/catch.hpp>

#include <functional>
#include <vector>

using namespace tamarack;
using namespace tamarack::platform;

namespace {

// Keys and names that end or split a request if they are sent as they are.
const std::vector<std::string> OddTexts = {
    "canary&3",  "a b",       "a+b",        "a%26b",
    "a=b",       "a#b",       "a?b",        "a/b",
    "a;b",       "a\r\nX: y", "\x01\x7f",   std::string("a\0b", 3),
    "\xc3\xa9t", "\xff\xfe",  "\"\\'<>{}|", std::string(255, '&'),
    "100%",      "a&topic=b", "~-_.",       " ",
};

class discarding_call_listener final : public store_call_listener {
public:
  void onStoreCall(const store_call_report &) override {}
};

// A platform_store before a server that keeps the targets of its requests.
struct store_fixture {
  store_fixture()
      : Address(freeAddress(Context)),
        Server(Context, Memory,
               [this](const edge::request_message &Request,
                      const edge::respond_callback &Respond) {
                 Targets.emplace_back(Request.target().data(),
                                      Request.target().size());
                 edge::response_message Response(Status, 11);
                 Response.body() = Body();
                 Respond(std::move(Response));
               }),
        Store(Context, {.Address = Address, .CallsFor = "test"}, Era,
              CallListener) {
    Server.listen(edge::parseAddress(Address));
  }

  static std::string freeAddress(edge::net::io_context &Context) {
    edge::tcp::acceptor PortFinder(
        Context, {edge::net::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(PortFinder.local_endpoint().port());
  }
  edge::http::status Status = edge::http::status::ok; // Of all responses.

  store_status append(const store_writer &Writer, std::string_view Key) {
    std::optional<store_status> Outcome;
    Store.appendAs(store_topic::Grants, Writer, Key, "v",
                   [&Outcome](store_status Status) { Outcome = Status; });
    while (!Outcome)
      Context.run_one();
    return *Outcome;
  }
  // Values of a parameter in the last target.
  std::vector<std::string> lastValuesOf(const std::string &Name) const {
    std::vector<std::string> Values;
    for (const auto &[Key, Value] :
         Poco::URI(Targets.back()).getQueryParameters())
      if (Key == Name)
        Values.push_back(Value);
    return Values;
  }

  memory::memory_budget Memory{16u << 20};
  edge::net::io_context Context;
  std::string Address;
  std::vector<std::string> Targets;
  std::function<std::string()> Body = [] { return std::string(); };
  edge::simple_http_server Server;
  discarding_call_listener CallListener;
  tests::recording_era_listener EraListener;
  store_era Era{EraListener};
  platform_store Store;
};

} // namespace

// Guards against keys and names that are sent as they are: "&" ends the key, a
// space or a line break the request.
TEST_CASE("odd keys and names reach the store as they are", "[platform]") {
  store_fixture Fixture;
  for (const std::string &Text : OddTexts) {
    CAPTURE(Text);
    CHECK(Fixture.append({Text, 4, 2}, "k") == store_status::Ok);
    CHECK(Fixture.lastValuesOf("producer") == std::vector{Text});
    CHECK(Fixture.lastValuesOf("topic") ==
          std::vector<std::string>{"keyed.grants"});
    CHECK(Fixture.lastValuesOf("epoch") == std::vector<std::string>{"4"});
    CHECK(Fixture.lastValuesOf("sequence") == std::vector<std::string>{"2"});
  }
}

// Guards against a key whose length does not fit into the byte before it: the
// rest of the key would be stored as the value.
TEST_CASE("a key that is too long is an error", "[platform]") {
  store_fixture Fixture;
  CHECK(Fixture.append({"w", 1, 0}, std::string(255, 'k')) == store_status::Ok);
  CHECK_THROWS_AS(Fixture.append({"w", 1, 0}, std::string(256, 'k')),
                  std::length_error);
}

// Guards against a snapshot that asks for the page after another key than the
// store has sent, and so for one page without end.
TEST_CASE("the key that a page follows reaches the store as it is",
          "[platform]") {
  store_fixture Fixture;
  Fixture.Body = [] {
    return std::string(R"({"end": 9, "more": false, "items": []})");
  };
  const auto ReadAfter = [&Fixture](const std::optional<std::string> &After) {
    std::optional<keyed_page> Page;
    Fixture.Store.readSnapshotPage(
        store_topic::Endpoints, After,
        [&Page](keyed_page Read) { Page = std::move(Read); });
    while (!Page)
      Fixture.Context.run_one();
    CHECK(Page->Status == store_status::Ok);
    return Fixture.lastValuesOf("after");
  };
  CHECK(ReadAfter(std::nullopt).empty());
  CHECK(ReadAfter("") == std::vector<std::string>{""});
  for (const std::string &Text : OddTexts) {
    CAPTURE(Text);
    CHECK(ReadAfter(Text) == std::vector{Text});
  }
}

// Guards against an append that counts as not stored, though the store failed
// or sent what the protocol does not have, and may have stored it.
TEST_CASE("only a status that says so refuses an append", "[platform]") {
  using edge::http::status;
  store_fixture Fixture;
  const auto Append = [&Fixture](status Status) {
    Fixture.Status = Status;
    return Fixture.append({"w", 1, 7}, "k");
  };
  CHECK(Append(status::ok) == store_status::Ok);
  CHECK(Append(status::conflict) == store_status::Conflict);
  for (status Status :
       {status::bad_request, status::forbidden, status::precondition_failed,
        status::too_many_requests, status::service_unavailable,
        status::insufficient_storage})
    CHECK(Append(Status) == store_status::Refused);
  for (status Status :
       {status::accepted, status::no_content, status::moved_permanently,
        status::internal_server_error, status::bad_gateway,
        status::gateway_timeout})
    CHECK(Append(Status) == store_status::Unavailable);
}
