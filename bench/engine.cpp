// Micro-benchmarks of the request engine (relay::exchange), the load balancer,
// the planning of grants, and the decoding and use of a configuration.
#include "tamarack/dispatch.hpp"
#include "tamarack/grants.hpp"
#include "tamarack/platform.hpp"
#include "tamarack/relay.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <random>

namespace {

using namespace tamarack;

class seeded_random final : public random_source {
public:
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine{1};
};

class fixed_clock final : public clock {
public:
  time_ms now() const override { return 0; }
  time_ms monotonic() const override { return 0; }
  time_ms sinceBoot() const override { return 0; }
};

// Accepts every reservation, so that only the request engine is measured.
class unlimited_token_budget final : public relay::token_budget {
public:
  relay::reserve_result reserve(const relay::call &) override {
    return relay::reserve_result::Reserved;
  }
  bool settle(const relay::call &, std::int64_t) override { return true; }
};

// Discards the response and only counts its bytes.
constexpr std::size_t MaxKeptBytes = 16u << 20;

class discarding_host final : public relay::exchange_host {
public:
  void startAttempt(const relay::endpoint_choice &,
                    const relay::send_options &) override {}
  void cancelAttempt() override {}
  void beginResponse(const relay::response_head &) override {}
  void forwardEvents(std::string_view Bytes) override {
    ForwardedBytes += Bytes.size();
  }
  void endResponse() override {}
  void sendCompleteResponse(const relay::response_head &,
                            std::string) override {}
  void abortResponse() override {}
  void refuse(relay::error_kind, int) override {}
  std::size_t ForwardedBytes = 0;
};

relay::call makeCall(std::uint64_t Number) {
  relay::call Call;
  Call.Id = "0123456789abcdef";
  Call.Service = "s";
  Call.Account = "a";
  Call.Kind = relay::call_kind::ResumableStream;
  Call.MaxAttempts = 2;
  Call.Deadline = 10'000;
  Call.PromptTokens = 6'600;
  Call.MaxOutputTokens = 400;
  Call.MaxTokensPerEvent = 5;
  Call.Prompt = {{1, 512}, {2 + Number % 120, 4'870}, {1'000 + Number, 1'200}};
  return Call;
}

class unrestricted final : public dispatch::endpoint_restriction {
public:
  bool mayGetRequest(std::string_view, time_ms) override { return true; }
};

class silent_availability_listener final
    : public dispatch::availability_listener {
public:
  void onWithheld(std::string_view, dispatch::withheld_reason, int) override {}
};

struct load_balancer_fixture {
  explicit load_balancer_fixture(int Count)
      : LoadBalancer("z", {}, Restriction, Random, Listener) {
    const std::shared_ptr<relay::route_table> Table =
        std::make_shared<relay::route_table>();
    relay::service Service;
    Service.Name = "s";
    Service.KvCacheTokens = 475'000;
    Table->add(Service);
    LoadBalancer.setTable(Table);
    std::vector<dispatch::endpoint_entry> Entries;
    for (int I = 0; I < Count; ++I) {
      dispatch::endpoint_entry Entry;
      Entry.Id = "i-" + std::to_string(I);
      Entry.Service = "s";
      Entry.Address = "10.0.0.1:80";
      Entry.Zone = "z";
      Entry.Slots = 64;
      Entries.push_back(std::move(Entry));
    }
    LoadBalancer.setEndpoints(Entries, 0);
  }

  seeded_random Random;
  unrestricted Restriction;
  silent_availability_listener Listener;
  dispatch::load_balancer LoadBalancer;
};

// Time of one stream of 60 events, from the request to the end of the response.
void serveStream(benchmark::State &State) {
  load_balancer_fixture Fixture(9);
  unlimited_token_budget TokenBudget;
  relay::no_stream_origins Origins;
  std::vector<std::string> Events;
  for (int Id = 1; Id <= 60; ++Id)
    Events.push_back("id: " + std::to_string(Id) +
                     "\ndata: " + std::string(43, 'x') + "\n\n");
  std::uint64_t Number = 0;
  std::size_t MaxBytes = 0; // Of memory while a stream is open.
  for (auto _ : State) {
    discarding_host Host;
    const std::size_t BytesAtStart = ::mallinfo2().uordblks;
    relay::numbered_event_reader Reader;
    memory::memory_budget Memory(MaxKeptBytes);
    relay::exchange Exchange(makeCall(++Number), Fixture.LoadBalancer,
                             TokenBudget, Origins, Reader, Host, Memory);
    Exchange.start(0);
    relay::response_head Head;
    Head.Status = 200;
    Exchange.onHead(std::move(Head), 1);
    for (const std::string &Event : Events)
      Exchange.onBody(Event, 2);
    MaxBytes = std::max(MaxBytes, ::mallinfo2().uordblks - BytesAtStart);
    Exchange.onEnd(3);
    benchmark::DoNotOptimize(Host.ForwardedBytes);
  }
  State.SetItemsProcessed(State.iterations());
  State.counters["pieces_per_s"] =
      benchmark::Counter(static_cast<double>(State.iterations()) * 60,
                         benchmark::Counter::kIsRate);
  State.counters["bytes_a_request"] = static_cast<double>(MaxBytes);
}
BENCHMARK(serveStream);

// Time to choose one endpoint of a service.
void chooseEndpoint(benchmark::State &State) {
  load_balancer_fixture Fixture(static_cast<int>(State.range(0)));
  std::uint64_t Number = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Fixture.LoadBalancer.choose(makeCall(++Number), {}, 0));
}
BENCHMARK(chooseEndpoint)->Arg(9)->Arg(60)->Arg(90)->Arg(360);

// Time to plan one write to the grants topic. Arguments: number of instances
// with records in the topic, number of client accounts.
void planGrants(benchmark::State &State) {
  const fixed_clock Clock;
  const int Instances = static_cast<int>(State.range(0));
  const int Accounts = static_cast<int>(State.range(1));
  const std::shared_ptr<relay::route_table> Table =
      std::make_shared<relay::route_table>();
  grants::holder_record Record;
  for (int I = 0; I < Accounts; ++I) {
    relay::account Account;
    Account.Name = "account-" + std::to_string(I);
    Account.PrepaidTokens = 1'000'000;
    Table->add(Account, {});
    Record.Lines.push_back({Account.Name, 1'000, 500, false});
  }
  grants::grant_holder Holder({"own", "zone", 1, "10.0.0.1:1", "boot"}, {},
                              Clock);
  Holder.setBudgets(Table);
  Holder.onPreviousWatermark(std::nullopt);
  const std::string Value = grants::encode(Record);
  for (int I = 0; I < Instances; ++I)
    Holder.onRecord("i" + std::to_string(I), Value, false);
  Holder.onCaughtUp();
  for (auto _ : State) {
    const std::optional<grants::holder_record> Write = Holder.planWrite(0);
    benchmark::DoNotOptimize(Write);
    State.PauseTiming();
    if (Write)
      Holder.onWriteRejected(Write->WriteNumber);
    State.ResumeTiming();
  }
  State.counters["record_bytes"] = static_cast<double>(Value.size());
}
BENCHMARK(planGrants)
    ->Args({8, 10})
    ->Args({86, 24})
    ->Args({370, 310})
    ->Unit(benchmark::kMicrosecond);

std::string pathPrefixOf(int Route) {
  return "/r" + std::to_string(Route) + "/" + std::to_string(Route % 7) + "/";
}

// A configuration document with Routes routes of one host.
std::string makeConfiguration(int Routes) {
  std::string Text = R"({"version":1,"services":[],"routes":[)";
  for (int I = 0; I < Routes; ++I) {
    Text += I == 0 ? "" : ",";
    Text += R"({"name":"route-)" + std::to_string(I) +
            R"(","host":"h.example","pathPrefix":")" + pathPrefixOf(I) +
            R"(","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,)"
            R"("priority":2,"service":"desk","maxAttempts":2,"public":false})";
  }
  return Text + "]}";
}

// Time to decode a configuration. Argument: number of routes of one host.
void decodeConfiguration(benchmark::State &State) {
  const std::string Text = makeConfiguration(static_cast<int>(State.range(0)));
  for (auto _ : State)
    benchmark::DoNotOptimize(platform::decodeConfiguration(Text));
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(decodeConfiguration)
    ->Arg(240)
    ->Arg(1'900)
    ->Arg(12'000)
    ->Unit(benchmark::kMillisecond);

// Time to find the route of a request. Argument: number of routes of one host.
void findRoute(benchmark::State &State) {
  const int Routes = static_cast<int>(State.range(0));
  const std::shared_ptr<const relay::route_table> Table =
      platform::decodeConfiguration(makeConfiguration(Routes));
  const std::string Path = pathPrefixOf(Routes / 2) + "x";
  for (auto _ : State)
    benchmark::DoNotOptimize(Table->findRoute("h.example", Path));
}
BENCHMARK(findRoute)->Arg(240)->Arg(1'900)->Arg(12'000);

} // namespace

BENCHMARK_MAIN();
