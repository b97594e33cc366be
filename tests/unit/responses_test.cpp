// What counts as a response, in every split of its bytes.
#include "tamarack/responses.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace tamarack::responses;

namespace {

struct outcome {
  bool IsComplete = false;
  defect Why = defect::None;
  unsigned Status = 0;
  std::string Body;
  std::size_t Unparsed = 0;
  bool KeepsConnection = false;
};

// Parses Bytes, of which PieceSize more are received at a time, then the end of
// the connection.
outcome parse(std::string_view Bytes, std::size_t PieceSize,
              connection_end End = connection_end::Closed,
              parser_settings Settings = {}) {
  response_parser Parser(Settings);
  std::string Received;
  outcome Outcome;
  parsed Next;
  for (;;) {
    Next = Parser.next(Received);
    Outcome.Body.append(Next.Body);
    Received.erase(0, Next.Consumed);
    if (Next.Kind == part::Head)
      Outcome.Status = Parser.head().result_int();
    if (Next.Kind == part::End || Next.Kind == part::Defect)
      break;
    if (Next.Kind != part::NeedsBytes)
      continue;
    if (Bytes.empty()) {
      Next = Parser.onConnectionEnd(End);
      break;
    }
    Received.append(Bytes.substr(0, PieceSize));
    Bytes.remove_prefix(std::min(PieceSize, Bytes.size()));
  }
  Outcome.IsComplete = Next.Kind == part::End;
  Outcome.Why = Parser.whyBroken();
  Outcome.Unparsed = Received.size() + Bytes.size();
  Outcome.KeepsConnection = Parser.hasHead() && Parser.keepsConnection();
  CHECK(Outcome.IsComplete == Parser.isComplete());
  CHECK(Outcome.IsComplete == (Outcome.Why == defect::None));
  return Outcome;
}

// The outcome must not depend on how the bytes arrive.
outcome parseInAllPieces(std::string_view Bytes,
                         connection_end End = connection_end::Closed,
                         parser_settings Settings = {}) {
  const outcome Whole = parse(Bytes, Bytes.size() + 1, End, Settings);
  for (std::size_t PieceSize = 1; PieceSize <= 9; ++PieceSize) {
    const outcome Pieces = parse(Bytes, PieceSize, End, Settings);
    CHECK(Pieces.IsComplete == Whole.IsComplete);
    CHECK(Pieces.Why == Whole.Why);
    CHECK(Pieces.Status == Whole.Status);
    if (Whole.IsComplete)
      CHECK(Pieces.Body == Whole.Body);
  }
  return Whole;
}

defect defectOf(const std::string &Bytes) {
  INFO(Bytes);
  return parseInAllPieces(Bytes).Why;
}

std::string withStatus(const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withField(const std::string &Line) {
  return "HTTP/1.1 200 OK\r\n" + Line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string unframedWith(const std::string &Line) {
  return "HTTP/1.1 200 OK\r\n" + Line + "\r\n\r\nok";
}

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a whole response is parsed, however its bytes arrive",
          "[responses]") {
  const std::string Length = withStatus("200 OK");
  const std::string Chunks = ChunkedHead + "1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n";
  const std::string Trailer = ChunkedHead + "2\r\nok\r\n0\r\nX: y\r\n\r\n";
  const std::string Upper = "HTTP/1.1 200 OK\r\ntransfer-encoding: "
                            "CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const std::string &Bytes : {Length, Chunks, Trailer, Upper}) {
    INFO(Bytes);
    const outcome Outcome = parseInAllPieces(Bytes, connection_end::Broken);
    CHECK(Outcome.IsComplete);
    CHECK(Outcome.Body == "ok");
    CHECK(Outcome.Unparsed == 0);
    CHECK(Outcome.KeepsConnection);
  }
  CHECK(parseInAllPieces(withStatus("599 Odd")).Status == 599);
  CHECK(parseInAllPieces("HTTP/1.1 204 None\r\n\r\n").IsComplete);
}

// Guards against an assertion of the library that ended the process: the line
// of the last chunk arrived in pieces.
TEST_CASE("an empty body in chunks is whole, however its bytes arrive",
          "[responses]") {
  CHECK(parseInAllPieces(ChunkedHead + "0\r\n\r\n").IsComplete);
  CHECK(parseInAllPieces(ChunkedHead + "0;a\r\n\r\n").IsComplete);
  CHECK(parseInAllPieces(ChunkedHead + "000\r\nX: y\r\n\r\n").IsComplete);
}

TEST_CASE("interim responses are skipped", "[responses]") {
  const outcome Outcome = parseInAllPieces(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" +
      withStatus("200 OK"));
  CHECK(Outcome.Status == 200);
  CHECK(Outcome.Body == "ok");
  CHECK(defectOf("HTTP/1.1 100 Continue\r\n\r\n") == defect::Incomplete);
  std::string Endless;
  for (int Count = 0; Count < 101; ++Count)
    Endless += "HTTP/1.1 102 Processing\r\n\r\n";
  CHECK(defectOf(Endless + withStatus("200 OK")) == defect::TooLarge);
}

TEST_CASE("bytes after the end belong to no response", "[responses]") {
  const std::string Second = withStatus("500 Failed");
  const outcome Outcome =
      parse(withStatus("200 OK") + Second, 10'000, connection_end::Closed);
  CHECK(Outcome.Status == 200);
  CHECK(Outcome.Body == "ok");
  CHECK(Outcome.Unparsed == Second.size());
}

TEST_CASE("a status outside of 200 to 599 is no response", "[responses]") {
  for (const char *Status :
       {"000 OK", "000 ", "001 Low", "099 Low", "101 Switching", "600 High",
        "999 High", "20 OK", "2000 OK", "-20 OK", "2x0 OK", "+20 OK"})
    CHECK(defectOf(withStatus(Status)) == defect::Status);
  // Such a response is no interim one either.
  CHECK(defectOf("HTTP/1.1 000 OK\r\n\r\n" + withStatus("200 OK")) ==
        defect::Status);
}

TEST_CASE("another protocol is no response", "[responses]") {
  for (const char *Line :
       {"HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "ICY 200 OK", "http/1.1 200 OK",
        "HTTP/1.1\t200 OK", "{}", "\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K"})
    CHECK(defectOf(Line + std::string("\r\nContent-Length: 0\r\n\r\n")) ==
          defect::StartLine);
}

TEST_CASE("a malformed or folded line of a head is no response",
          "[responses]") {
  for (const char *Line :
       {"X Y: z", "X : z", "X\t: z", " X: z", "\tX: z", "X\x01Y: z", "X\x7f: z",
        "X\rY: z", ": z", "X", "X: a\x01", "X: a\r\n b: c", "X: a\r\n\tb: c",
        "X: a\nY: b", "Content-Length : 2"}) {
    CHECK(defectOf(withField(Line)) == defect::Field);
    CHECK(defectOf(unframedWith(Line)) == defect::Field);
  }
  CHECK(defectOf(withField(std::string("X\0Y: z", 6))) == defect::Field);
}

TEST_CASE("a framing that is unknown or contradictory is no response",
          "[responses]") {
  for (const char *Line :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: identity",
        "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip\r\nContent-Length: 2",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 3",
        "Content-Length: x", "Content-Length: -1", "Content-Length: +2",
        "Content-Length:", "Content-Length: 99999999999999999999"})
    CHECK(defectOf(unframedWith(Line)) == defect::Framing);
  CHECK(defectOf("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        defect::Framing);
  CHECK(defectOf(ChunkedHead + "zz\r\n") == defect::Framing);
  CHECK(defectOf(ChunkedHead + "2\r\nokX0\r\n\r\n") == defect::Framing);
  CHECK(defectOf(ChunkedHead + "2\r\nok\r\n0\r\nX Y: z\r\n\r\n") ==
        defect::Field);
}

TEST_CASE("an encoded body is no response", "[responses]") {
  CHECK(defectOf(withField("Content-Encoding: gzip")) == defect::ContentCoding);
  CHECK(defectOf(withField("content-encoding: x")) == defect::ContentCoding);
}

TEST_CASE("a response that stops is none", "[responses]") {
  for (const std::string &Whole :
       {withStatus("200 OK"), ChunkedHead + "2\r\nok\r\n0\r\n\r\n",
        ChunkedHead + "0\r\nX: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + withStatus("200 OK")})
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      INFO(Whole.substr(0, Size));
      for (connection_end End :
           {connection_end::Closed, connection_end::Broken})
        CHECK(parse(Whole.substr(0, Size), 3, End).Why == defect::Incomplete);
    }
}

TEST_CASE("the connection's end completes only a body without other framing",
          "[responses]") {
  const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\nok";
  const outcome Closed = parseInAllPieces(Unframed);
  CHECK(Closed.IsComplete);
  CHECK(Closed.Body == "ok");
  CHECK_FALSE(Closed.KeepsConnection);
  CHECK(parseInAllPieces(Unframed, connection_end::Broken).Why ==
        defect::Incomplete);
  parser_settings NeedsEnd;
  NeedsEnd.NeedsStatedEnd = true;
  CHECK(parseInAllPieces(Unframed, connection_end::Closed, NeedsEnd).Why ==
        defect::Framing);
}

TEST_CASE("a response to HEAD has no body", "[responses]") {
  parser_settings Settings;
  Settings.IsToHead = true;
  for (const std::string &Head :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
        ChunkedHead}) {
    const outcome Outcome =
        parseInAllPieces(Head, connection_end::Broken, Settings);
    CHECK(Outcome.IsComplete);
    CHECK(Outcome.Body.empty());
  }
}

TEST_CASE("a response beyond the limits is none", "[responses]") {
  parser_settings Settings;
  Settings.MaxHeadBytes = 100;
  Settings.MaxBodyBytes = 1;
  const std::string LongHead = withField("X: " + std::string(200, 'x'));
  CHECK(parseInAllPieces(LongHead, connection_end::Closed, Settings).Why ==
        defect::TooLarge);
  CHECK(parseInAllPieces(withStatus("200 OK"), connection_end::Closed, Settings)
            .Why == defect::TooLarge);
  const std::string Endless(2 * MaxUnparsedBytes, 'x');
  CHECK(parse(ChunkedHead + "1;" + Endless, 4'096).Why == defect::TooLarge);
  CHECK(parse(ChunkedHead + "0\r\nX: " + Endless, 4'096).Why ==
        defect::TooLarge);
  CHECK(parse("HTTP/1.1 200 OK\r\nX: " + Endless, 4'096).Why ==
        defect::TooLarge);
}
