// One caller's connection.
#pragma once

#include "endpoint_call.hpp"
#include "tamarack/edge.hpp"

namespace tamarack::edge {

class front_session final : public std::enable_shared_from_this<front_session>,
                            public relay::exchange_host,
                            public attempt_listener {
public:
  front_session(front_server &Server, tcp::socket Socket);

  void start();
  void onMoney();
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
  void startAttempt(const relay::endpoint_choice &To,
                    const relay::send_options &Options) override;
  void cancelAttempt() override;
  void beginResponse(const relay::response_head &Head) override;
  void forwardEvents(std::string_view Bytes) override;
  void endResponse() override;
  void sendCompleteResponse(const relay::response_head &Head,
                            std::string_view Body) override;
  void abortResponse() override;
  void refuse(relay::error_kind Kind, int RetryAfterMs) override;

  // attempt_listener
  void onUnreached(const endpoint_call *From) override;
  void onHead(const endpoint_call *From, relay::response_head Head) override;
  void onBody(const endpoint_call *From, std::string_view Bytes) override;
  void onEnd(const endpoint_call *From) override;
  void onBroken(const endpoint_call *From) override;
  bool wantsMore() override;

  // Writing.
  void write(std::string Bytes);
  void flush();
  void onFlushed(const error_code &Error);
  void writeMessage(response_message Message);
  std::string headText(const relay::response_head &Head, bool Chunked,
                       std::size_t Length);

  void afterEvent();
  void armTimer();
  void finishExchange();
  void linger();
  void close();
  time_ms now() const;

  front_server &Server;
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
  relay::numbered_event_reader Reader;
  std::unique_ptr<relay::exchange> Exchange;
  std::shared_ptr<endpoint_call> Attempt;

  std::string Unsent;
  std::string Sending;
};

} // namespace tamarack::edge
