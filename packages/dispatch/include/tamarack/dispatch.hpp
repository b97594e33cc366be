// Where a call goes: endpoints, what they keep of prompts, and their cost.
//
// Contents:
//   endpoints        endpoint_entry, load_report, endpoint_state
//   kept prompts     prompt_cache
//   repeats          repeat_budget
//   the choice       dispatcher, an implementation of relay::placement
//
// Nothing here is thread-safe or reads a clock; times are monotonic ms.
#pragma once

#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::dispatch {

//---------------------------------------------------------------------------
// Endpoints
//---------------------------------------------------------------------------

// One endpoint as the platform's list tells it.
struct endpoint_entry {
  std::string Id;
  std::string Service;
  std::string Address; // host:port
  std::string Zone;
  int Slots = 1;             // Requests worked on at once.
  bool Leaving = false;      // Takes no new work.
  int ColdMs = 0;            // Slow for so long after its start.
  std::int64_t Start = 0;    // Its start, Unix ms, 0 if unknown. Another start
                             // under the same id has kept nothing.
  std::int64_t Sequence = 0; // Grows with each report of one start.
};

// Load as an endpoint tells it in an answer.
struct load_report {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

//---------------------------------------------------------------------------
// Kept prompts
//---------------------------------------------------------------------------

// What an endpoint has probably kept of the prompts that it has read: the
// parts by the chain that leads to them, least recently used out first.
class prompt_cache {
public:
  explicit prompt_cache(std::int64_t Capacity) : Capacity(Capacity) {}

  // Tokens at the beginning of Prompt that are kept.
  std::int64_t keptTokens(std::span<const relay::prompt_part> Prompt) const;
  void note(std::span<const relay::prompt_part> Prompt);
  std::int64_t size() const { return Size; }
  void setCapacity(std::int64_t Tokens) { Capacity = Tokens; }
  // Names a chain of parts.
  static std::uint64_t chainOf(std::span<const relay::prompt_part> Prompt);

private:
  struct part {
    std::uint64_t Chain = 0;
    int Tokens = 0;
  };
  void evict();

  std::int64_t Capacity; // Tokens.
  std::int64_t Size = 0; // Tokens.
  std::list<part> Used;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<part>::iterator> Index;
};

//---------------------------------------------------------------------------
// Repeats
//---------------------------------------------------------------------------

struct repeat_limits {
  double Ratio = 0.1; // Repeats per request.
  double Slack = 10;  // Repeats on top, whole fleet, in one window.
  int WindowMs = 10'000;
};

// This instance's share of the fleet's repeats of one service. Each request
// earns a part of a repeat; a share of the slack comes back over the window.
class repeat_budget {
public:
  void onRequest(const repeat_limits &Limits);
  bool trySpend(const repeat_limits &Limits, int Instances, time_ms Now);

private:
  static constexpr double MostEarned = 20; // Repeats saved up.
  // Burst and refill each take this part of the instance's share of the slack.
  static constexpr double SlackPart = 0.4;

  double Earned = 0;
  double Slack = 0;
  time_ms Filled = -1;
};

//---------------------------------------------------------------------------
// The choice
//---------------------------------------------------------------------------

// Weights of the cost model; ms unless said otherwise.
struct cost_weights {
  double PrefillTokensPerMs = 60; // Reading of a prompt by an engine.
  double StepPerRunning = 1.5;    // Each request that runs beside it.
  double Waiting = 25;            // Each request that waits in an engine.
  double ServiceTime = 60;        // One request of a plain service.
  double OtherZone = 6;           // Way to another availability zone and back.
  double ReadAgain = 0.075;       // A token that another endpoint has kept.
};

class dispatcher final : public relay::placement {
public:
  dispatcher(std::string Zone, repeat_limits Limits, random_source &Random);

  // The whole list. Entries whose Start changed are new endpoints.
  void setEndpoints(std::span<const endpoint_entry> Entries, time_ms Now);
  void setTable(std::shared_ptr<const relay::route_table> Table);
  // Instances that share the repeats, this one included.
  void setInstances(int Count) { Instances = std::max(1, Count); }
  void setRepeatLimits(const repeat_limits &To) { Limits = To; }
  void onLoad(std::string_view Endpoint, const load_report &Load, time_ms Now);
  // The endpoint's own sign that it takes no more work.
  void onLeaving(std::string_view Endpoint);
  void onRequest(std::string_view Service); // Once for each caller's request.

  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome End, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

  std::size_t endpointCount() const { return Endpoints.size(); }
  // One line for logs: what the choice knew of the endpoint.
  std::string describe(std::string_view Endpoint, time_ms Now) const;

private:
  struct state {
    endpoint_entry Entry;
    bool Listed = true;
    bool SaysLeaving = false;
    prompt_cache Cache{0};
    load_report Load;
    time_ms LoadAt = -1;
    int SentSince = 0;        // Since the report.
    int EndedSince = 0;       // Since the report.
    int InFlight = 0;         // Of this instance.
    double PrefillTokens = 0; // Sent and not yet begun to answer.
    double Penalty = 0;       // 0 healthy, up to 1 failing in a row.
    time_ms PenaltyAt = 0;
    int UnreachedInRow = 0;
    time_ms AvoidUntil = 0; // Not reachable lately.
    time_ms ColdUntil = 0;
  };

  double cost(const relay::call &Call, const state &State, bool Preferred,
              time_ms Now) const;
  const state *preferred(const relay::call &Call,
                         std::span<const state *const> Candidates) const;
  double running(const state &State) const;
  double penalty(const state &State, time_ms Now) const;
  void punish(state &State, double By, time_ms Now);
  static bool isAvoided(const state &State, time_ms Now);
  static bool isOutOfReach(const state &State, time_ms Now);
  bool mayTake(const state &State, const relay::call &Call) const;
  state *find(std::string_view Endpoint);
  bool isEngine(std::string_view Service) const;

  std::string Zone;
  repeat_limits Limits;
  random_source &Random;
  cost_weights Weights;
  int Instances = 1;
  std::shared_ptr<const relay::route_table> Table;
  std::map<std::string, state, std::less<>> Endpoints; // By id.
  std::map<std::string, std::vector<std::string>, std::less<>> ByService;
  std::map<std::string, repeat_budget, std::less<>> Repeats; // By service.
};

} // namespace tamarack::dispatch
