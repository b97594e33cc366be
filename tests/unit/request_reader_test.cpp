// Requests that come in, within a memory budget and without a network.
#include "request_reader.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr std::size_t KiB = 1024;
constexpr slow_request_rule Rule{1'000, 16'384};

struct reader_fixture {
  explicit reader_fixture(std::size_t MemoryLimit) : Memory(MemoryLimit) {
    Limits.MaxBodyBytes = 4'096 * KiB;
    Reader.begin(Limits, 0);
  }

  reading_state receive(std::string_view Bytes) {
    Buffer.commit(
        net::buffer_copy(Buffer.prepare(Bytes.size()),
                         net::const_buffer(Bytes.data(), Bytes.size())));
    return Reader.parse(Buffer, Bytes.size(), 0);
  }

  memory::memory_budget Memory;
  relay::caller_limits Limits;
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  request_reader Reader{Memory, Rule};
};

std::string statedHead(std::size_t Length) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

constexpr const char *ChunkedHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against bodies that are let in and can't all be held.
TEST_CASE("a stated body is held from its head on or not let in", "[edge]") {
  reader_fixture First(1'000 * KiB);
  CHECK(First.receive(statedHead(600 * KiB)) == reading_state::Body);
  CHECK(First.Memory.used() == 600 * KiB);
  request_reader Second(First.Memory, Rule);
  Second.begin(First.Limits, 0);
  boost::beast::flat_buffer Buffer;
  const std::string Head = statedHead(200 * KiB);
  Buffer.commit(
      net::buffer_copy(Buffer.prepare(Head.size()), net::buffer(Head)));
  CHECK(Second.parse(Buffer, Head.size(), 0) == reading_state::Full);
  CHECK(First.Memory.used() == 600 * KiB);
  First.Reader.reset();
  CHECK(First.Memory.used() == 0);
  CHECK(Second.parse(Buffer, 0, 0) == reading_state::Body);
  CHECK(First.Memory.used() == 200 * KiB);
}

// Guards against many chunked bodies of small chunks that take much more than
// their bytes.
TEST_CASE("a chunked body takes little more than its bytes", "[edge]") {
  constexpr std::size_t Pieces = 100;
  constexpr std::size_t ChunksOfPiece = 1'000;
  reader_fixture Fixture(4'000 * KiB);
  Fixture.receive(ChunkedHead);
  std::string Piece;
  for (std::size_t Number = 0; Number < ChunksOfPiece; ++Number)
    Piece += "1\r\nx\r\n";
  for (std::size_t Number = 1; Number <= Pieces; ++Number) {
    REQUIRE(Fixture.receive(Piece) == reading_state::Body);
    CHECK(Fixture.Memory.used() <= 3 * Number * ChunksOfPiece + 16 * KiB);
    CHECK(Fixture.Memory.used() >= Number * ChunksOfPiece);
    CHECK(Fixture.Buffer.size() < 10);
  }
  CHECK(Fixture.receive("0\r\n\r\n") == reading_state::Complete);
  CHECK(Fixture.Reader.release().body().size() == Pieces * ChunksOfPiece);
}

// Guards against a chunked body that grows beyond the budget.
TEST_CASE("a chunked body stops at the budget", "[edge]") {
  constexpr std::size_t Limit = 1'000 * KiB;
  reader_fixture Fixture(Limit);
  reading_state State = Fixture.receive(ChunkedHead);
  const std::string Chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  int Chunks = 0;
  while (State == reading_state::Body && ++Chunks < 1'000) {
    State = Fixture.receive(Chunk);
    CHECK(Fixture.Memory.used() <= Limit);
  }
  CHECK(State == reading_state::Full);
  CHECK(Chunks > 20);
}

// Guards against large heads that nothing counts.
TEST_CASE("a head beyond the usual size counts", "[edge]") {
  reader_fixture Fixture(1'000 * KiB);
  Fixture.Limits.MaxHeaderBytes = 60'000;
  Fixture.Reader.begin(Fixture.Limits, 0);
  Fixture.receive("POST /x HTTP/1.1\r\nHost: h\r\n");
  CHECK(Fixture.Memory.used() == 0);
  const std::string Field = "more: " + std::string(8'000, 'x') + "\r\n";
  CHECK(Fixture.receive(Field) == reading_state::Head);
  CHECK(Fixture.Memory.used() >= 8'000);
  CHECK(Fixture.receive("\r\n") == reading_state::Complete);
  const std::shared_ptr<held_request> Held = Fixture.Reader.held();
  CHECK(Fixture.Memory.used() >= 8'000);
}

// Guards against clients that are given up though they send, and against ones
// that keep their place by a byte now and then.
TEST_CASE("a request gives way by the rate of the last second", "[edge]") {
  request_progress Progress(Rule);
  Progress.begin(0);
  SECTION("not before the first window is over") {
    CHECK_FALSE(Progress.isSlow(999));
    CHECK(Progress.isSlow(1'000));
  }
  SECTION("not while it sends") {
    for (time_ms Now = 0; Now < 20'000; Now += 100) {
      Progress.add(2'000, Now);
      CHECK_FALSE(Progress.isSlow(Now));
    }
    CHECK(Progress.isSlow(22'000));
  }
  SECTION("after much at first, nothing") {
    Progress.add(4'000'000, 0);
    CHECK_FALSE(Progress.isSlow(1'000));
    CHECK(Progress.isSlow(2'000));
  }
  SECTION("after much at first, a byte now and then") {
    Progress.add(4'000'000, 0);
    for (time_ms Now = 400; Now < 3'000; Now += 400)
      Progress.add(1, Now);
    CHECK(Progress.isSlow(3'000));
  }
}

// Guards against an assertion of the library that ended the process: the line
// of the last chunk arrived in pieces.
TEST_CASE("a body in chunks is complete however its bytes arrive", "[edge]") {
  for (const std::string &Body :
       {std::string("0\r\n\r\n"), std::string("00\r\nX: y\r\n\r\n"),
        std::string("2\r\n00\r\n0\r\n\r\n")})
    for (std::size_t Size = 1; Size <= Body.size(); ++Size) {
      reader_fixture Fixture(1'000 * KiB);
      reading_state State = Fixture.receive(ChunkedHead);
      for (std::size_t Begin = 0; Begin < Body.size(); Begin += Size) {
        CHECK(State == reading_state::Body);
        State = Fixture.receive(Body.substr(Begin, Size));
      }
      CHECK(State == reading_state::Complete);
      const bool IsEmpty = Body.front() == '0';
      CHECK(Fixture.Reader.release().body() == (IsEmpty ? "" : "00"));
    }
}

// Guards against a fast or small request that gives way before others.
TEST_CASE("the slowest and then the largest gives way first", "[edge]") {
  CHECK(givesWayBefore({0, 1}, {10, 1'000}));
  CHECK(givesWayBefore({0, 1'000}, {0, 1}));
  CHECK_FALSE(givesWayBefore({0, 1}, {0, 1}));
}
