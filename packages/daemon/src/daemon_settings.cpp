// Settings of tamarackd.
#include "daemon_settings.hpp"

#include "split_list.hpp"

namespace tamarack::daemon {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::string_view NameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

void declareSettings(adapters::program_settings &Set) {
  Set.addText("instance", nullptr, "unique name of this instance");
  Set.addText("zone", nullptr, "availability zone of this instance");
  Set.addText("http-host", "127.0.0.1", "address to serve callers on");
  Set.addNumber("http-port", "8080", 1, 65535, "port to serve callers on");
  Set.addText("http-url", "",
              "URL of this instance for other instances; default "
              "http://<http-host>:<http-port>, https with --http-tls settings");
  Set.addText("peer-url", "tcp://127.0.0.1:9080",
              "address to serve other daemons on, tcp:// or tls+tcp://");
  Set.addText("platform-url", nullptr,
              "URL of the platform's log and instance list");
  Set.addText(
      "peers", "",
      "addresses of other daemons for the first gossip, separated by commas");
  Set.addNumber("streams", "4", 1, 4096,
                "ledger streams; equal on all daemons and never changed");
  Set.addNumber("http-threads", "2048", 4, 65536,
                "connections served at once, idle ones included");
  Set.addNumber("peer-threads", "16", 1, 1024,
                "threads that serve requests of other daemons");
  Set.addNumber("largest-body", "1048576", 1024, 1073741824,
                "largest request body in bytes");
  Set.addNumber("queue-ms", "10000", 0, 3600000,
                "longest wait for a free endpoint without X-Deadline-Ms");
  Set.addNumber("queue-length", "1000", 0, 1000000,
                "requests that may wait for an endpoint, per pool");
  Set.addNumber("checkpoint-records", "5000", 10, 100000000,
                "log records between two checkpoints of a stream");
  Set.addNumber("drain-ms", "600000", 0, 86400000,
                "longest wait for requests in flight at shutdown");
  Set.addText("admin-key-sha256", "",
              "SHA-256 of the bearer key for /admin; empty: no key needed");
  Set.addText("log-level", "info", "debug, info, warn or error");
  Set.addText("log-format", "text", "text or json");
  adapters::addTlsSettings(Set, "peer-", "connections between daemons");
  adapters::addTlsSettings(Set, "http-", "callers");
  adapters::addTlsSettings(Set, "client-", "endpoints and the platform");
}

class daemon_setting_check final : public adapters::settings_check {
public:
  void check(const adapters::program_settings &Set,
             std::vector<std::string> &Errors) const override {
    checkName(Set, "instance", Errors);
    checkName(Set, "zone", Errors);
    checkChoice(Set, "log-level", {"debug", "info", "warn", "error"}, Errors);
    checkChoice(Set, "log-format", {"text", "json"}, Errors);
    for (const char *Prefix : {"peer-", "http-", "client-"})
      adapters::checkTlsSettings(Set, Prefix, Errors);
    const bool IsTlsUrl = Set.getText("peer-url").starts_with("tls+tcp://");
    const bool HasPeerTls = !Set.getText("peer-tls-cert").empty();
    if (IsTlsUrl != HasPeerTls)
      Errors.emplace_back("--peer-url must be tls+tcp:// if, and only if, the "
                          "--peer-tls settings are given");
  }

private:
  static void checkName(const adapters::program_settings &Set,
                        const std::string &Name,
                        std::vector<std::string> &Errors) {
    const std::string &Value = Set.getText(Name);
    if (Value.size() > MaxNameLength ||
        Value.find_first_not_of(NameCharacters) != std::string::npos)
      Errors.push_back("--" + Name + " takes up to 64 letters, digits, '.', " +
                       "'_' and '-', not \"" + Value + "\"");
  }

  static void checkChoice(const adapters::program_settings &Set,
                          const std::string &Name,
                          std::initializer_list<std::string_view> Choices,
                          std::vector<std::string> &Errors) {
    const std::string &Value = Set.getText(Name);
    std::string ChoiceList;
    for (std::string_view Choice : Choices) {
      if (Choice == Value)
        return;
      ChoiceList += (ChoiceList.empty() ? "" : ", ") + std::string(Choice);
    }
    Errors.push_back("--" + Name + " must be one of " + ChoiceList);
  }
};

} // namespace

bool readSettings(int Count, const char *const *Arguments,
                  daemon_settings &Settings) {
  adapters::program_settings Set("tamarackd",
                                 "router for prepaid token budgets");
  declareSettings(Set);
  const daemon_setting_check Check;
  if (!Set.read(Count, Arguments, &Check))
    return false;
  Settings.Instance = Set.getText("instance");
  Settings.Zone = Set.getText("zone");
  Settings.HttpHost = Set.getText("http-host");
  Settings.HttpPort = static_cast<int>(Set.getNumber("http-port"));
  Settings.PeerUrl = Set.getText("peer-url");
  Settings.PlatformUrl = Set.getText("platform-url");
  Settings.PeerSeeds = splitList(Set.getText("peers"));
  Settings.StreamCount = static_cast<std::uint32_t>(Set.getNumber("streams"));
  Settings.MaxHttpThreads = static_cast<int>(Set.getNumber("http-threads"));
  Settings.PeerThreads = static_cast<int>(Set.getNumber("peer-threads"));
  Settings.MaxBodyBytes = Set.getNumber("largest-body");
  Settings.DefaultQueueWaitMs = static_cast<int>(Set.getNumber("queue-ms"));
  Settings.MaxQueueLength = static_cast<int>(Set.getNumber("queue-length"));
  Settings.CheckpointRecords =
      static_cast<int>(Set.getNumber("checkpoint-records"));
  Settings.MaxDrainMs = static_cast<int>(Set.getNumber("drain-ms"));
  Settings.AdminKeyDigest = Set.getText("admin-key-sha256");
  Settings.LogLevel = Set.getText("log-level");
  Settings.LogFormat = Set.getText("log-format");
  Settings.PeerTls = adapters::readTlsFiles(Set, "peer-");
  Settings.HttpTls = adapters::readTlsFiles(Set, "http-");
  Settings.ClientTls = adapters::readTlsFiles(Set, "client-");
  Settings.HttpUrl = Set.getText("http-url");
  if (Settings.HttpUrl.empty())
    Settings.HttpUrl =
        std::string(Settings.HttpTls.enabled() ? "https" : "http") + "://" +
        Settings.HttpHost + ":" + std::to_string(Settings.HttpPort);
  return true;
}

} // namespace tamarack::daemon
