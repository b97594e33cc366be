// Tests of the member table, placement and messages between daemons.
#include "fakes.hpp"

#include "tamarack/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::fleet;

namespace {

member_row makeRow(int Number, incarnation_id Incarnation, int Zone = 0) {
  member_row Row;
  Row.Instance = "i" + std::to_string(Number);
  Row.Zone = "z" + std::to_string(Zone);
  Row.PeerUrl = "tcp://" + Row.Instance;
  Row.Incarnation = Incarnation;
  return Row;
}

std::vector<member_row> makeRows(int Count) {
  std::vector<member_row> Result;
  for (int Number = 0; Number < Count; ++Number)
    Result.push_back(
        makeRow(Number, static_cast<incarnation_id>(100 + Number)));
  return Result;
}

} // namespace

TEST_CASE("a member without heartbeats is suspected until the next heartbeat",
          "[fleet]") {
  member_table Table(makeRow(0, 1));
  const std::vector<member_row> Others{makeRow(1, 2)};
  Table.mergeRows(Others, 0);
  CHECK(Table.eligibleMembers(SuspectAfterMs).size() == 2);
  CHECK(Table.eligibleMembers(SuspectAfterMs + 1).size() == 1);
  CHECK(Table.suspectedIncarnations(SuspectAfterMs + 1).contains(2));
  const std::vector<member_heartbeat> Heartbeats{{2, 5, false}};
  Table.mergeHeartbeats(Heartbeats, SuspectAfterMs + 2);
  CHECK(Table.eligibleMembers(SuspectAfterMs + 2).size() == 2);
  CHECK(Table.suspectedIncarnations(SuspectAfterMs + 2).empty());
}

TEST_CASE("an unresponsive member is not eligible until its next heartbeat",
          "[fleet]") {
  member_table Table(makeRow(0, 1));
  const std::vector<member_row> Others{makeRow(1, 2)};
  Table.mergeRows(Others, 0);
  Table.markUnresponsive(2);
  CHECK(Table.eligibleMembers(0).size() == 1);
  CHECK(Table.suspectedIncarnations(0).empty());
  const std::vector<member_heartbeat> Heartbeats{{2, 1, false}};
  Table.mergeHeartbeats(Heartbeats, 1);
  CHECK(Table.eligibleMembers(1).size() == 2);
}

TEST_CASE("an old heartbeat does not clear a suspicion", "[fleet]") {
  member_table Table(makeRow(0, 1));
  member_row Other = makeRow(1, 2);
  Other.Heartbeat = 9;
  Table.mergeRows({&Other, 1}, 0);
  const std::vector<member_heartbeat> Old{{2, 8, false}};
  Table.mergeHeartbeats(Old, SuspectAfterMs + 1);
  CHECK(Table.suspectedIncarnations(SuspectAfterMs + 1).contains(2));
}

TEST_CASE("a new incarnation proves that the old incarnation is dead",
          "[fleet]") {
  member_table Table(makeRow(0, 1));
  const std::vector<member_row> Old{makeRow(1, 2)};
  const std::vector<member_row> New{makeRow(1, 7)};
  Table.mergeRows(Old, 0);
  Table.mergeRows(New, 1);
  CHECK(Table.suspectedIncarnations(1) == std::set<incarnation_id>{2});
  // A late message still carries the row of the old incarnation.
  Table.mergeRows(Old, 2);
  CHECK(Table.eligibleMembers(2)[1].Incarnation == 7);
}

TEST_CASE("a leaving member stays leaving", "[fleet]") {
  member_table Table(makeRow(0, 1));
  const std::vector<member_row> Others{makeRow(1, 2)};
  Table.mergeRows(Others, 0);
  const std::vector<member_heartbeat> Heartbeats{{2, 3, true}, {2, 4, false}};
  Table.mergeHeartbeats(Heartbeats, 1);
  CHECK(Table.eligibleMembers(1).size() == 1);
}

TEST_CASE("removing a daemon moves only the streams of that daemon",
          "[fleet][property]") {
  CHECK(rc::check("rendezvous placement", [] {
    const int Count = *rc::gen::inRange(2, 60);
    std::vector<member_row> All = makeRows(Count);
    const int RemovedIndex = *rc::gen::inRange(0, Count);
    std::vector<member_row> Remaining = All;
    Remaining.erase(Remaining.begin() + RemovedIndex);
    for (std::uint32_t Stream = 0; Stream < 64; ++Stream) {
      const member_row &Before = homeOf(Stream, All);
      const member_row &After = homeOf(Stream, Remaining);
      if (Before.Incarnation != All[RemovedIndex].Incarnation) {
        RC_ASSERT(Before.Incarnation == After.Incarnation);
        continue;
      }
      // The witness of a dead home becomes the next home, because it holds the
      // replicated bill lines that are needed to close the grants.
      const member_row *Witness = witnessOf(Stream, All, Before.Incarnation);
      RC_ASSERT(Witness->Incarnation == After.Incarnation);
    }
  }));
}

TEST_CASE("gossip reaches every daemon of a zone before it suspects others",
          "[fleet]") {
  constexpr int Count = 53;
  constexpr int Rounds = 8;
  tests::seeded_random Random(7);
  std::vector<member_table> Tables;
  const std::vector<member_row> All = makeRows(Count);
  for (const member_row &Row : All) {
    Tables.emplace_back(Row);
    Tables.back().mergeRows(All, 0);
  }
  for (int Round = 1; Round <= Rounds; ++Round) {
    const time_ms Now = Round * HeartbeatIntervalMs;
    for (int From = 0; From < Count; ++From) {
      Tables[From].advanceHeartbeat(Now);
      for (const std::string &Url : Tables[From].gossipTargets(Random))
        for (int To = 0; To < Count; ++To)
          if (All[To].PeerUrl == Url)
            Tables[To].mergeHeartbeats(Tables[From].heartbeats(Now), Now);
    }
  }
  for (const member_table &Table : Tables)
    CHECK(Table.eligibleMembers(Rounds * HeartbeatIntervalMs).size() == Count);
}

TEST_CASE("decoding returns the encoded peer message", "[fleet]") {
  gossip_request Gossip;
  Gossip.Sender = makeRow(3, 77);
  Gossip.Heartbeats = {{1, 2, true}, {3, 4, false}};
  Gossip.NextConfigOffset = 9;
  Gossip.LeavingEndpoints = {"e1", "e2"};
  const auto DecodedGossip = decodeRequest(encodeRequest(peer_request(Gossip)));
  REQUIRE(DecodedGossip);
  const gossip_request &Copy = std::get<gossip_request>(*DecodedGossip);
  CHECK(Copy.Sender.Instance == "i3");
  CHECK(Copy.Heartbeats[0].Leaving);
  CHECK(Copy.LeavingEndpoints == Gossip.LeavingEndpoints);
  witness_request Witness;
  Witness.Stream = 3;
  Witness.Update.Lines.push_back({{1, 2}, {{3, 4}, 5, -6}});
  const auto DecodedWitness =
      decodeRequest(encodeRequest(peer_request(Witness)));
  REQUIRE(DecodedWitness);
  CHECK(
      std::get<witness_request>(*DecodedWitness).Update.Lines[0].Line.Amount ==
      -6);
  const auto DecodedResponse = decodeResponse(encodeResponse(
      peer_response(reserve_response{money::refusal::Exhausted, {}})));
  REQUIRE(DecodedResponse);
  CHECK(std::get<reserve_response>(*DecodedResponse).Refusal ==
        money::refusal::Exhausted);
}

TEST_CASE("the peer decoder accepts or rejects any bytes without failing",
          "[fleet][property]") {
  CHECK(rc::check("random bytes", [](const byte_string &Bytes) {
    decodeRequest(Bytes);
    decodeResponse(Bytes);
  }));
  CHECK(rc::check("damaged messages", [](std::uint32_t At, std::uint8_t Byte) {
    gossip_request Gossip;
    Gossip.Sender = makeRow(3, 77);
    Gossip.Heartbeats = {{1, 2, true}};
    byte_string Bytes = encodeRequest(peer_request(Gossip));
    Bytes[At % Bytes.size()] = Byte;
    decodeRequest(Bytes);
  }));
}
