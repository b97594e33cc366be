// One caller's connection.
#pragma once

#include "endpoint_attempt.hpp"
#include "tamarack/edge.hpp"

namespace tamarack::edge {

class frontend_session final
    : public std::enable_shared_from_this<frontend_session>,
      public relay::exchange_host,
      public attempt_listener {
public:
  frontend_session(frontend_server &Server, tcp::socket Socket);

  void start();
  void onGrantsChanged();
  void closeIfIdle();
  void endNow(); // The instance ends.
  bool isBusy() const { return Phase != phase::Idle; }

private:
  enum class phase {
    Idle,    // Waits for the first byte of a request.
    Reading, // Reads a request.
    Busy,    // A request is being served.
    Closing, // The last answer is being written, or lingers.
    Closed,
  };

  // Reading.
  void watch(); // Bytes or the end of the connection, at any time.
  void onWatched(const error_code &Error, std::size_t Size);
  void readRequest();
  void onRequestHead(const error_code &Error);
  void onRequest(const error_code &Error);
  void refuseReading(relay::error_kind Kind);
  bool hasPlainFraming() const;
  void serve();
  void startIdleTimer();

  // relay::exchange_host
  void send(const relay::endpoint_choice &To,
            const relay::send_options &Options) override;
  void cancelSend() override;
  void beginAnswer(const relay::answer_head &Head) override;
  void passOn(std::string_view Bytes) override;
  void endAnswer() override;
  void wholeAnswer(const relay::answer_head &Head,
                   std::string_view Body) override;
  void breakOff() override;
  void refuse(relay::error_kind Kind, int RetryAfterMs) override;

  // attempt_listener
  void onUnreached(const endpoint_attempt *From) override;
  void onHead(const endpoint_attempt *From, relay::answer_head Head) override;
  void onBody(const endpoint_attempt *From, std::string_view Bytes) override;
  void onEnd(const endpoint_attempt *From) override;
  void onBroken(const endpoint_attempt *From) override;
  bool wantsMore() override;

  // Writing.
  void write(std::string Bytes);
  void flush();
  void onFlushed(const error_code &Error);
  void writeMessage(response_message Message);
  std::string headText(const relay::answer_head &Head, bool Chunked,
                       std::size_t Length);

  void afterEvent();
  void armTimer();
  void finishExchange();
  void linger();
  void close();
  time_ms now() const;

  frontend_server &Server;
  tcp::socket Socket;
  net::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  phase Phase = phase::Idle;
  bool Watching = false;
  bool KeepAlive = true;
  bool OldVersion = false; // HTTP/1.0: no chunks.
  bool IsHead = false;
  bool LingerAfterFlush = false;
  time_ms TimerDue = 0;

  request_message Forward;
  relay::numbered_reader Reader;
  std::unique_ptr<relay::exchange> Exchange;
  std::shared_ptr<endpoint_attempt> Attempt;

  std::string Unsent;
  std::string Sending;
};

} // namespace tamarack::edge
