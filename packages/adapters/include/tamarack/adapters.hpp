// Implementations of the interfaces in ports.hpp and fleet.hpp on POCO, nng,
// log4cplus and the operating system; settings and logs of the programs.
//
// Contents:
//   settings               program_settings, settings_check, settings_error
//   logs                   startLogging, component_logger, event_log
//   time, random numbers   system_clock, system_random
//   TLS                    tls_files
//   HTTP clients           http_client, fetch
//   the platform           platform_log, platform_instance_list
//   peers                  nng_client, nng_server
#pragma once

#include "tamarack/fleet.hpp"
#include "tamarack/ports.hpp"

#include <Poco/Net/Context.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace tamarack::adapters {

//---------------------------------------------------------------------------
// Settings
//---------------------------------------------------------------------------

// Wrong or missing settings. The message lists all errors, one a line.
struct settings_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class program_settings;

// Checks of one program that concern more than the value of a single setting,
// for example that two settings fit each other.
class settings_check {
public:
  virtual ~settings_check() = default;
  // Appends one line to Errors for each error in Settings.
  virtual void check(const program_settings &Settings,
                     std::vector<std::string> &Errors) const = 0;
};

// The settings of one program. The value of a setting comes from the flag
// --some-name, else from the environment variable TAMARACK_SOME_NAME, else from
// the settings file, else from the default. Unknown flags, unknown TAMARACK_
// variables and unknown names in the settings file are errors.
class program_settings {
public:
  // Program and Summary are printed by --help.
  explicit program_settings(std::string Program, std::string Summary);

  // Each add function declares one setting. A Default of nullptr makes the
  // setting required. Min and Max are the smallest and the largest valid value.
  void addText(std::string Name, const char *Default, std::string Help);
  void addNumber(std::string Name, const char *Default, std::int64_t Min,
                 std::int64_t Max, std::string Help);
  void addDecimal(std::string Name, const char *Default, double Min, double Max,
                  std::string Help);
  void addFlag(std::string Name, std::string Help); // Default: false.
  // Declares the setting that holds the path of the settings file, a file of
  // lines NAME = VALUE. Without a value no file is read.
  void addSettingsFile(std::string Name, std::string Help);
  // Accepts positional arguments, for example commands and file names. Without
  // this call they are errors.
  void allowPositionals(std::string Help);

  // Reads the flags, the environment and the settings file. Returns false if
  // --help was given; the help text is then printed. ExtraCheck may be null.
  // Throws settings_error.
  bool read(int ArgumentCount, const char *const *Arguments,
            const settings_check *ExtraCheck = nullptr);

  // Return the value of a setting declared with the same type.
  const std::string &getText(std::string_view Name) const;
  std::int64_t getNumber(std::string_view Name) const;
  double getDecimal(std::string_view Name) const;
  bool getFlag(std::string_view Name) const;
  // Returns the positional arguments in the order given.
  const std::vector<std::string> &getPositionals() const { return Positionals; }

private:
  enum class value_type { Text, Number, Decimal, Flag };

  struct setting {
    value_type Type = value_type::Text;
    bool Required = false;
    std::string Default;
    std::string Help;
    std::int64_t Min = 0; // Min and Max apply to numbers.
    std::int64_t Max = 0;
    double MinDecimal = 0; // MinDecimal and MaxDecimal apply to decimals.
    double MaxDecimal = 0;
    std::string Value; // As written; checked by checkValues().
  };

  // AlreadySet: names of the settings that flags or variables have set.
  void readEnvironment(std::set<std::string> &AlreadySet,
                       std::vector<std::string> &Errors);
  void readSettingsFile(const std::string &Path,
                        const std::set<std::string> &AlreadySet,
                        std::vector<std::string> &Errors);
  static void assign(setting &Setting, std::string Value);
  void checkValues(std::vector<std::string> &Errors);
  const setting &findSetting(std::string_view Name, value_type Type) const;

  std::string Program;
  std::string Summary;
  std::string PositionalsHelp;
  std::string FileSettingName; // Setting that holds the path of the settings
                               // file, empty if there is none.
  bool PositionalsAllowed = false;
  std::map<std::string, setting, std::less<>> Settings; // By name.
  std::vector<std::string> Positionals;
};

//---------------------------------------------------------------------------
// Logs
//---------------------------------------------------------------------------

// Makes component_logger write to standard error. Level: lowest level that is
// written, "debug", "info", "warn" or "error". Format: "text", or "json" for
// one JSON object a line. Throws settings_error.
void startLogging(std::string_view Level, std::string_view Format,
                  std::string_view Instance);

// Message without line breaks and other control characters; for JSON, as the
// inside of a string, with bytes that are no UTF-8 replaced.
std::string escapeLogMessage(std::string_view Message, bool ForJson);

// Writes log lines that carry the name of one component of the program.
class component_logger {
public:
  explicit component_logger(std::string Name);
  void debug(std::string_view Message) const;
  void info(std::string_view Message) const;
  void warn(std::string_view Message) const;
  void error(std::string_view Message) const;

private:
  std::string Name;
};

// Writes decisions of the router as JSON lines:
// {"time":MS,"instance":NAME,"event":NAME,...}. The lines of each event are
// limited to a number per second. If lines of an event were skipped, the next
// line of that event gives their number in the field "left_out_before". Texts
// may come from anybody: what is longer than MaxTextBytes is cut.
class event_log {
public:
  static constexpr std::size_t MaxTextBytes = 512;

  struct field {
    std::string_view Name;
    std::variant<std::string_view, std::int64_t, double> Value;
  };

  event_log(std::string Instance, const clock &Clock, int LinesPerSecond);
  void write(std::string_view Event, std::initializer_list<field> Fields);
  // The line of an event. LeftOutBefore is shown if it is not 0.
  static std::string format(time_ms Time, std::string_view Instance,
                            std::string_view Event, int LeftOutBefore,
                            std::span<const field> Fields);

private:
  // Lines of one event in the current second.
  struct rate_window {
    time_ms Second = 0; // Monotonic time in s.
    int WrittenLines = 0;
    int SkippedLines = 0;
  };

  std::string Instance;
  const clock &Clock;
  int LinesPerSecond;
  std::map<std::string, rate_window, std::less<>> RateWindows; // By event.
};

// Makes event_log write to standard output, one JSON object a line.
void startEventLogging();

//---------------------------------------------------------------------------
// Time and random numbers
//---------------------------------------------------------------------------

// Clocks of the operating system. Thread-safe.
class system_clock final : public clock {
public:
  time_ms now() const override;
  time_ms monotonic() const override;
  time_ms sinceBoot() const override;
};

// Returns the random id that the kernel generated for the current boot of the
// machine, or an empty string if the id cannot be read.
std::string readBootId();

// Processor time that this process has used, in ms.
time_ms processorTime();

// Seeded from std::random_device. Thread-safe.
class system_random final : public random_source {
public:
  system_random();
  std::uint64_t next() override;

private:
  std::mutex Lock; // Guards Engine.
  std::mt19937_64 Engine;
};

//---------------------------------------------------------------------------
// TLS
//---------------------------------------------------------------------------

// Paths of the PEM files of one TLS connection end. All paths are empty if TLS
// is disabled.
struct tls_files {
  std::string CertificateFile; // Certificate chain presented to the other side.
  std::string KeyFile;         // Private key of the certificate.
  std::string CaFile; // Certificate authorities trusted to sign the other
                      // side's certificate.

  bool enabled() const { return !CertificateFile.empty(); }
};

// Declares the settings tls-cert, tls-key and tls-ca with NamePrefix before
// their names, for example "peer-tls-cert" for the prefix "peer-". Purpose says
// in the help texts what the files are for, for example "callers".
void addTlsSettings(program_settings &Settings, const std::string &NamePrefix,
                    std::string_view Purpose);
// Appends an error to Errors if only one or two of the three settings with
// NamePrefix are given.
void checkTlsSettings(const program_settings &Settings,
                      const std::string &NamePrefix,
                      std::vector<std::string> &Errors);
// Returns the paths given by the three settings with NamePrefix.
tls_files readTlsFiles(const program_settings &Settings,
                       const std::string &NamePrefix);

// POCO contexts for HTTPS. A server does not request certificates from callers;
// a client requires the server's certificate to be signed by an authority in
// CaFile.
Poco::Net::Context::Ptr makeServerContext(const tls_files &Files);
Poco::Net::Context::Ptr makeClientContext(const tls_files &Files);

//---------------------------------------------------------------------------
// HTTP clients
//---------------------------------------------------------------------------

// HTTP client with a pool of idle connections for each server. Thread-safe.
class http_client final : public endpoint_client {
public:
  // Tls may be null; send() then throws endpoint_unreached for https URLs.
  explicit http_client(Poco::Net::Context::Ptr Tls = nullptr);
  ~http_client() override;

  std::unique_ptr<response_source>
  send(std::string_view Url, const endpoint_request &Request) override;

private:
  class response;
  struct connection;
  using connection_ptr = std::unique_ptr<connection>;

  // Throws Poco::Exception or endpoint_unreached.
  connection_ptr connect(const std::string &Url, int TimeoutMs);
  connection_ptr takeIdleConnection(const std::string &Url);
  // Returns a connection to the pool for further requests.
  void releaseConnection(const std::string &Url, connection_ptr Connection);

  Poco::Net::Context::Ptr Tls;
  std::mutex Lock; // Guards IdleConnections.
  std::map<std::string, std::vector<connection_ptr>, std::less<>>
      IdleConnections; // By URL of the server.
};

// A complete response with its body.
struct http_response {
  int Status = 0;
  std::string Body;
};

// Sends Request and reads the complete response. Throws endpoint_unreached or
// endpoint_disconnected.
http_response fetch(endpoint_client &Client, std::string_view Url,
                    const endpoint_request &Request);

//---------------------------------------------------------------------------
// The platform
//---------------------------------------------------------------------------

// Client of the platform's log service over HTTP. POST /log/<stream> appends a
// record and returns its offset as text; GET /log/<stream>?from=N&wait_ms=M
// returns a log_page as MessagePack.
class platform_log final : public append_log {
public:
  platform_log(endpoint_client &Client, std::string Url);
  std::uint64_t append(std::string_view Stream, byte_view Body) override;
  log_page read(std::string_view Stream, std::uint64_t From,
                int WaitMs) override;

private:
  endpoint_client &Client;
  std::string Url; // Of the platform.
};

// MessagePack form of a log_page. decodePage() returns nothing if Bytes are not
// a valid page.
byte_string encodePage(const log_page &Page);
std::optional<log_page> decodePage(byte_view Bytes);

// Client of the platform's instance list over HTTP: GET /instances returns all
// rows as JSON, PUT /instances writes one row.
class platform_instance_list final : public instance_list {
public:
  platform_instance_list(endpoint_client &Client, std::string Url);
  std::vector<instance_info> list() override;
  void announce(const instance_info &Self) override;

private:
  endpoint_client &Client;
  std::string Url; // Of the platform.
};

//---------------------------------------------------------------------------
// Peers
//---------------------------------------------------------------------------

// Bytes of the messages exchanged with other daemons since the start.
struct peer_traffic {
  std::atomic<std::uint64_t> SentBytes = 0;
  std::atomic<std::uint64_t> ReceivedBytes = 0;
};

// Sends requests to other daemons over nng, with one socket for each peer
// address. Thread-safe.
class nng_client final : public fleet::peer_client {
public:
  nng_client(tls_files Tls, peer_traffic &Traffic);
  ~nng_client() override;
  std::optional<fleet::peer_response> call(std::string_view PeerUrl,
                                           const fleet::peer_request &Request,
                                           int TimeoutMs) override;

private:
  struct connection;
  // Returns the connection to Url; creates it at the first call.
  std::shared_ptr<connection> connectionTo(const std::string &Url);

  tls_files Tls;
  peer_traffic &Traffic;
  std::mutex Lock; // Guards Connections.
  std::map<std::string, std::shared_ptr<connection>, std::less<>>
      Connections; // By peer address.
};

// Handles requests of other daemons. Called by several threads at once.
class peer_handler {
public:
  virtual ~peer_handler() = default;
  virtual fleet::peer_response handle(const fleet::peer_request &Request) = 0;
};

// Receives requests of other daemons over nng and passes them to a
// peer_handler.
class nng_server {
public:
  // Starts to listen on Url and starts Workers threads, which is also the
  // number of requests handled at once. Throws std::runtime_error if the
  // address is in use.
  nng_server(const std::string &Url, const tls_files &Tls,
             peer_handler &Handler, int Workers, peer_traffic &Traffic);
  ~nng_server(); // Stops and joins the workers.
  nng_server(const nng_server &) = delete;
  nng_server &operator=(const nng_server &) = delete;

private:
  struct impl; // Hides the nng headers from users of this header.
  std::unique_ptr<impl> Impl;
};

} // namespace tamarack::adapters
