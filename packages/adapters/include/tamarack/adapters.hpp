// Implementations of the ports on POCO, nng, log4cplus and the system.
//
// Contents:
//   settings        program_settings, settings_error
//   logs            startLogging, component_logger
//   time, random    system_clock, system_random
//   TLS             tls_files
//   HTTP clients    http_client
//   the platform    platform_log, platform_instance_list
//   peers           nng_client, nng_server
#pragma once

#include "tamarack/fleet.hpp"
#include "tamarack/ports.hpp"

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace tamarack::adapters {

//---------------------------------------------------------------------------
// Settings
//---------------------------------------------------------------------------

// All mistakes in flags and environment variables at once, a line each.
struct settings_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class program_settings;

// What a program checks beyond single values, for example that two settings
// fit each other.
class settings_check {
public:
  virtual ~settings_check() = default;
  // Adds one line to Errors for each mistake.
  virtual void check(const program_settings &Settings,
                     std::vector<std::string> &Errors) const = 0;
};

// Settings of one program: --some-name or TAMARACK_SOME_NAME; a flag wins.
// Unknown flags and unknown TAMARACK_ variables are errors.
class program_settings {
public:
  explicit program_settings(std::string Program, std::string Summary);

  // Declares a setting. A default of nullptr makes it required.
  void addText(std::string Name, const char *Default, std::string Help);
  void addNumber(std::string Name, const char *Default, std::int64_t Least,
                 std::int64_t Largest, std::string Help);
  void addDecimal(std::string Name, const char *Default, double Least,
                  double Largest, std::string Help);
  void addFlag(std::string Name, std::string Help);
  // Declares a setting that names a file of lines NAME = VALUE, read after
  // flags and variables, which win.
  void addSettingsFile(std::string Name, std::string Help);
  // Allows words that are not flags, for commands and files.
  void allowPositionals(std::string Help);

  // Reads both sources. False if --help was asked for and printed. Extra may
  // be null. Throws settings_error.
  bool read(int Count, const char *const *Arguments,
            const settings_check *Extra = nullptr);

  const std::string &getText(std::string_view Name) const;
  std::int64_t getNumber(std::string_view Name) const;
  double getDecimal(std::string_view Name) const;
  bool getFlag(std::string_view Name) const;
  const std::vector<std::string> &getPositionals() const { return Words; }

private:
  enum class kind { Text, Number, Decimal, Flag };

  struct setting {
    kind Kind = kind::Text;
    bool Required = false;
    std::string Default;
    std::string Help;
    std::int64_t Least = 0;
    std::int64_t Largest = 0;
    double LeastDecimal = 0;
    double LargestDecimal = 0;
    std::string Value;
  };

  void readEnvironment(std::set<std::string> &Given,
                       std::vector<std::string> &Errors);
  void readFile(const std::string &Path, const std::set<std::string> &Given,
                std::vector<std::string> &Errors);
  void check(std::vector<std::string> &Errors);
  const setting &find(std::string_view Name, kind Kind) const;

  std::string Program;
  std::string Summary;
  std::string WordsHelp;
  std::string FileSetting; // Name of the setting that names a file.
  bool AllowWords = false;
  std::map<std::string, setting, std::less<>> Settings;
  std::vector<std::string> Words;
};

//---------------------------------------------------------------------------
// Logs
//---------------------------------------------------------------------------

// Sends log lines to standard error. Level: debug, info, warn or error.
// Format: "text", or "json" for one object a line. Throws settings_error.
void startLogging(std::string_view Level, std::string_view Format,
                  std::string_view Instance);

// Log lines of one part of the program, with the part's name as prefix.
class component_logger {
public:
  explicit component_logger(std::string Name);
  void debug(std::string_view Sentence) const;
  void info(std::string_view Sentence) const;
  void warn(std::string_view Sentence) const;
  void error(std::string_view Sentence) const;

private:
  std::string Name;
};

// One decision as a line of JSON: {"time","instance","event",...}. Lines of one
// event are limited per second; what was left out is counted and told.
class event_log {
public:
  struct field {
    std::string_view Name;
    std::variant<std::string_view, std::int64_t, double> Value;
  };

  event_log(std::string Instance, const clock &Clock, int LinesPerSecond);
  void write(std::string_view Event, std::initializer_list<field> Fields);

private:
  struct budget {
    time_ms Second = 0;
    int Written = 0;
    int LeftOut = 0;
  };

  std::string Instance;
  const clock &Clock;
  int LinesPerSecond;
  std::map<std::string, budget, std::less<>> Budgets; // By event.
};

// Lines as they are, on standard output. For event_log.
void startEventLogging();

//---------------------------------------------------------------------------
// Time and random numbers
//---------------------------------------------------------------------------

class system_clock final : public clock {
public:
  time_ms now() const override;
  time_ms monotonic() const override;
  time_ms sinceBoot() const override;
};

// Names this boot of the machine's kernel. Empty if it can't be told.
std::string readBootId();

class system_random final : public random_source {
public:
  system_random();
  std::uint64_t next() override;

private:
  std::mutex Lock;
  std::mt19937_64 Engine;
};

//---------------------------------------------------------------------------
// TLS
//---------------------------------------------------------------------------

// PEM files. All empty means no TLS.
struct tls_files {
  std::string CertificateFile; // Own certificate chain.
  std::string KeyFile;         // Own private key.
  std::string CaFile; // Certificate authorities trusted for the other side.

  bool enabled() const { return !CertificateFile.empty(); }
};

// Declares tls-cert, tls-key and tls-ca with a prefix, for example "peer-".
void addTlsSettings(program_settings &Settings, const std::string &Prefix,
                    std::string_view Subject);
// All three go together, or none.
void checkTlsSettings(const program_settings &Settings,
                      const std::string &Prefix,
                      std::vector<std::string> &Errors);
tls_files readTlsFiles(const program_settings &Settings,
                       const std::string &Prefix);

Poco::Net::Context::Ptr makeServerContext(const tls_files &Files);
Poco::Net::Context::Ptr makeClientContext(const tls_files &Files);

//---------------------------------------------------------------------------
// HTTP clients
//---------------------------------------------------------------------------

// Sessions kept alive per server. Thread-safe.
class http_client final : public endpoint_client {
public:
  // Tls may be null: then https URLs are refused.
  explicit http_client(Poco::Net::Context::Ptr Tls = nullptr);
  ~http_client() override;

  std::unique_ptr<response_source>
  send(std::string_view Url, const endpoint_request &Request) override;

private:
  class source;
  using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;

  session_ptr take(const std::string &Url, bool Fresh);
  session_ptr open(const std::string &Url);
  void giveBack(const std::string &Url, session_ptr Session);

  Poco::Net::Context::Ptr Tls;
  std::mutex Lock; // Guards Idle.
  std::map<std::string, std::vector<session_ptr>, std::less<>> Idle;
};

// One whole answer.
struct http_response {
  int Status = 0;
  std::string Body;
};

// Sends and reads all. Throws endpoint_unreached or endpoint_disconnected.
http_response fetch(endpoint_client &Link, std::string_view Url,
                    const endpoint_request &Request);

//---------------------------------------------------------------------------
// The platform
//---------------------------------------------------------------------------

// The log service over HTTP: POST /log/<stream> appends and answers the
// offset; GET /log/<stream>?from=N&wait_ms=M answers a MessagePack page.
class platform_log final : public append_log {
public:
  platform_log(endpoint_client &Link, std::string Url);
  std::uint64_t append(std::string_view Stream, byte_view Body) override;
  log_page read(std::string_view Stream, std::uint64_t From,
                int WaitMs) override;

private:
  endpoint_client &Link;
  std::string Url;
};

byte_string encodePage(const log_page &Page);
std::optional<log_page> decodePage(byte_view Bytes);

// The instance list over HTTP: GET and PUT /instances, JSON.
class platform_instance_list final : public instance_list {
public:
  platform_instance_list(endpoint_client &Link, std::string Url);
  std::vector<instance_info> list() override;
  void announce(const instance_info &Self) override;

private:
  endpoint_client &Link;
  std::string Url;
};

//---------------------------------------------------------------------------
// Peers
//---------------------------------------------------------------------------

// Counts bytes of messages between daemons.
struct peer_traffic {
  std::atomic<std::uint64_t> SentBytes = 0;
  std::atomic<std::uint64_t> ReceivedBytes = 0;
};

class nng_client final : public fleet::peer_link {
public:
  nng_client(tls_files Tls, peer_traffic &Traffic);
  ~nng_client() override;
  std::optional<fleet::peer_answer> call(std::string_view PeerUrl,
                                         const fleet::peer_request &Request,
                                         int TimeoutMs) override;

private:
  struct connection;
  std::shared_ptr<connection> connectionTo(const std::string &Url);

  tls_files Tls;
  peer_traffic &Traffic;
  std::mutex Lock; // Guards Connections.
  std::map<std::string, std::shared_ptr<connection>, std::less<>> Connections;
};

// Answers requests of other daemons. Called by several threads at once.
class peer_handler {
public:
  virtual ~peer_handler() = default;
  virtual fleet::peer_answer handle(const fleet::peer_request &Request) = 0;
};

class nng_server {
public:
  // Listens at once; throws std::runtime_error if the address is taken.
  nng_server(const std::string &Url, const tls_files &Tls,
             peer_handler &Handler, int Workers, peer_traffic &Traffic);
  ~nng_server(); // Stops and joins the workers.
  nng_server(const nng_server &) = delete;
  nng_server &operator=(const nng_server &) = delete;

private:
  struct impl; // Keeps nng out of this header.
  std::unique_ptr<impl> Impl;
};

} // namespace tamarack::adapters
