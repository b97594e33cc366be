// A small world of daemons around one ledger stream, driven step by step.
//
// The log, the witness links and the clock are fakes inside this class. Every
// step is chosen by the caller, so a schedule is a plain list of numbers.
#pragma once

#include "tamarack/money.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tamarack::tests {

// One step: what happens, to which daemon, with which detail.
struct simulation_step {
  int Kind = 0;   // Modulo money_simulation::StepKinds.
  int Daemon = 0; // Modulo the number of daemons.
  int Detail = 0; // Amount, chance of a fault and the like.
};

struct simulation_options {
  int Zones = 2;
  int DaemonsPerZone = 2;
  int LargestDeaths = 1000;        // Daemons that may die in one schedule.
  bool WitnessIgnoresSeal = false; // A fault that the checks must find.
  bool CutsZones = true;
};

class money_simulation {
public:
  static constexpr int StepKinds = 16;

  explicit money_simulation(const simulation_options &Options);
  ~money_simulation();

  void step(const simulation_step &Step);
  // Heals every cut, suspects the dead and lets all work settle.
  void settleDown();

  // What a schedule is judged by; empty if all is well.
  std::string broken() const { return Broken; }
  money::amount stranded() const; // In open witnessed grants after settleDown.
  money::amount delivered() const { return Delivered; }
  money::amount credits() const;
  int deaths() const { return Deaths; }
  int deliveredCount() const { return static_cast<int>(DeliveredOn.size()); }

private:
  struct waiting {
    money::request_key Key;
    const char *Budget = nullptr;
  };
  struct held {
    const char *Budget = nullptr;
    money::reservation Reservation;
    bool Settling = false;
    money::amount Actual = 0;
  };
  struct daemon {
    int Zone = 0;
    bool Cut = false;
    money::incarnation_id Incarnation = 0;
    std::unique_ptr<money::witness_store> Witnessed;
    std::unique_ptr<money::ledger_home> Home;
    std::set<money::incarnation_id> Suspects;
    std::map<money::waiter_id, waiting> Waiting;
    std::map<money::request_key, held> Held;
    std::vector<money::ledger_batch> Late; // Sent, still on their way.
  };

  void request(daemon &Daemon, int Detail);
  void settle(daemon &Daemon);
  void giveUp(daemon &Daemon);
  void append(daemon &Daemon, int Detail);
  void storeLate(daemon &Daemon);
  void read(daemon &Daemon, int Count);
  void talkToWitness(daemon &Daemon, int Detail);
  void crash(daemon &Daemon, int Index);
  void suspect(daemon &Daemon, int Detail);
  void credit(int Detail);
  void store(const money::ledger_batch &Batch);
  void takeEvents(daemon &Daemon);
  void deliver(const held &Item);
  daemon *findByIncarnation(money::incarnation_id Incarnation);
  daemon *neighbour(const daemon &Daemon);
  money::home_view viewOf(const daemon &Daemon);
  void start(daemon &Daemon);
  void check();
  void fail(const std::string &Text);

  simulation_options Options;
  std::unique_ptr<money::grant_policy> Policy;
  money::null_listener Listener; // Before the fold, which refers to it.
  money::ledger_fold Reference;
  std::vector<log_record> Log;
  std::vector<daemon> Daemons;
  std::set<money::incarnation_id> Dead;
  std::map<money::request_key, money::grant_id> DeliveredOn;
  money::amount Delivered = 0;
  std::uint64_t NextKey = 0;
  std::uint64_t NextIncarnation = 0;
  int Deaths = 0;
  time_ms Now = 1'000'000'000;
  std::string Broken;
};

} // namespace tamarack::tests
