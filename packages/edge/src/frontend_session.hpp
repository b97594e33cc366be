// One caller's connection and the call that is being served on it.
#pragma once

#include "caller_output.hpp"
#include "endpoint_attempt.hpp"
#include "request_reader.hpp"
#include "tamarack/edge.hpp"

namespace tamarack::edge {

class frontend_session final
    : public std::enable_shared_from_this<frontend_session>,
      public relay::exchange_host,
      public attempt_listener {
public:
  // IsFromInstance: another instance forwards calls on the connection.
  frontend_session(frontend_server &Server, tcp::socket Socket,
                   bool IsFromInstance);

  void start();
  void onGrantsChanged();
  void onOriginsRead();
  void onListRead();
  void onMemoryFreed();
  // A new connection is left to its idle timeout.
  void closeIfIdle();
  void close();
  // Ends the call in progress. Without one, closes the connection unless a
  // response is being sent.
  void giveUp();
  // Refuses the request that is being received, since others need the memory.
  void giveUpRequest();
  // True if the request that is being received gives way to others.
  bool isSlow(time_ms Now) const;
  unfinished_request unfinished(time_ms Now) const;
  // Since when the connection waits for a request; empty if it does not.
  std::optional<time_ms> idleSince() const;
  bool isBusy() const { return Phase != phase::Idle || Buffer.size() > 0; }

private:
  enum class phase {
    Idle,           // Waits for the first byte of a request.
    ReadingRequest, // Reads a request.
    Serving,        // Serves a request.
    Sending,        // Sends the rest of a response; the connection stays open.
    Closing,        // Writes the last response or is in its lingering close.
    Closed,
  };

  // Requests.
  // Reads bytes of later requests into Buffer while another one is served, and
  // notices when the caller closes the connection.
  void readAhead();
  void onReadAhead(const error_code &Error, std::size_t Size);
  void chargeBuffer();
  void startRead(std::size_t MaxBytes);
  void widenWindow();
  void readRequest();
  void readMore();
  void parseRequest(std::size_t Received);
  void onReadingState(reading_state State);
  void onHeadComplete();
  // The end of the request is unknown, so the connection is closed.
  void refuseUnfinished(relay::error_kind Kind, std::string_view Detail,
                        int RetryAfterMs);
  void serveRequest();
  void refuse(const decoded_request &Request, int RetryAfterMs);
  response_message makeErrorResponse(relay::error_kind Kind, int RetryAfterMs,
                                     std::string_view RequestId);
  relay::response_head forwardedHead(relay::response_head Head) const;
  void startIdleTimer();
  void closeAfter(int Ms);

  // relay::exchange_host
  void startAttempt(const relay::endpoint_choice &To,
                    const relay::send_options &Options) override;
  void cancelAttempt() override;
  void beginResponse(const relay::response_head &Head) override;
  void forwardEvents(std::string_view Bytes) override;
  void endResponse() override;
  void sendCompleteResponse(const relay::response_head &Head,
                            std::string Body) override;
  void abortResponse() override;
  void refuse(relay::error_kind Kind, int RetryAfterMs) override;

  // attempt_listener
  void onUnreached(const endpoint_attempt *Source) override;
  bool maySend(const endpoint_attempt *Source, time_ms ConnectedAt) override;
  bool mayDeliver(const endpoint_attempt *Source, time_ms ConnectedAt) override;
  void onWithdrawn(const endpoint_attempt *Source) override;
  void onHead(const endpoint_attempt *Source,
              relay::response_head Head) override;
  void onBody(const endpoint_attempt *Source, std::string_view Bytes) override;
  void onEnd(const endpoint_attempt *Source) override;
  void onBroken(const endpoint_attempt *Source) override;
  bool canAcceptBody() override;

  void reportDropped(const endpoint_attempt &Source);

  // Responses.
  void queueBytes(std::string Bytes);
  void startWrite();
  void onWritten(const error_code &Error);
  void writeResponse(response_message Message);

  // Called after every event that was passed to the exchange.
  void afterExchangeEvent();
  void startExchangeTimer();
  void finishRequest();
  void awaitNextRequest();
  void beginLingeringClose();
  bool isNew() const;
  time_ms now() const;

  frontend_server &Server;
  tcp::socket Socket;
  bool IsFromInstance;
  net::steady_timer Timer; // For the current phase, or nextTimer() of Exchange.
  boost::beast::flat_buffer Buffer;
  request_reader Request;      // While ReadingRequest.
  bool HasHead = false;        // Of Request.
  std::size_t WindowBytes = 0; // As set by widenWindow().
  phase Phase = phase::Idle;
  bool IsReadingAhead = false;  // An operation of readAhead() is pending.
  bool KeepAlive = true;        // The connection stays open after the response.
  bool IsHttp10 = false;        // The request has a version before HTTP/1.1.
  bool IsHeadRequest = false;   // The response must have no body.
  time_ms ExchangeTimerDue = 0; // Monotonic time that Timer is set to.
  time_ms AcceptedAt;           // Monotonic.
  time_ms IdleSince;            // Monotonic; while Idle.
  int RequestCount = 0;         // Requests read on this connection.

  memory::memory_charge SessionCharge; // What a connection takes in any case.
  memory::memory_charge BufferCharge;  // Of Buffer, if it holds much.

  // The call that is being served; Exchange is null if there is none.
  memory::memory_charge CallCharge;   // What serving a call takes in any case.
  request_message ForwardRequest;     // Without its body.
  std::shared_ptr<held_request> Held; // The body.
  relay::numbered_event_reader Reader;
  std::unique_ptr<relay::exchange> Exchange;
  std::shared_ptr<endpoint_attempt> Attempt;

  caller_output Output;
};

} // namespace tamarack::edge
